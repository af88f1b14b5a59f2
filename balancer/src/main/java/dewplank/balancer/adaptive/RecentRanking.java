package dewplank.balancer.adaptive;

/** A window of recent values, which gives the quantile of each new value. */
final class RecentRanking {
    private static final int MAX_VALUES = 256;
    private static final double RELATIVE_TOLERANCE = 0.001; // values that differ by less count as equal

    private final double[] recent = new double[MAX_VALUES];
    private int count;

    /**
     * Adds the value and returns its quantile, from 0 to 1; {@code tieBreak}, from 0 to 1, is its position
     * among equal values.
     */
    double add(double value, double tieBreak) {
        recent[count++ % recent.length] = value;
        int size = Math.min(count, recent.length);
        int less = 0;
        int equal = 0;
        for (int i = 0; i < size; i++) {
            less += recent[i] < value * (1 - RELATIVE_TOLERANCE) ? 1 : 0;
            equal += Math.abs(recent[i] - value) <= value * RELATIVE_TOLERANCE ? 1 : 0;
        }
        return (less + tieBreak * equal) / size;
    }
}
