package dewplank.balancer.adaptive;

/** Recent values, to tell the quantile of a new one among them. */
final class RecentRanking {
    private static final int MAX_VALUES = 256;
    private static final double EQUAL_WITHIN = 0.001; // of the value

    private final double[] recent = new double[MAX_VALUES];
    private int count;

    /**
     * The quantile, from 0 to 1, after the value is added; equal ones share their span by {@code lot}, from 0
     * to 1.
     */
    double add(double value, double lot) {
        recent[count++ % recent.length] = value;
        int size = Math.min(count, recent.length);
        int less = 0;
        int equal = 0;
        for (int i = 0; i < size; i++) {
            less += recent[i] < value * (1 - EQUAL_WITHIN) ? 1 : 0;
            equal += Math.abs(recent[i] - value) <= value * EQUAL_WITHIN ? 1 : 0;
        }
        return (less + lot * equal) / size;
    }
}
