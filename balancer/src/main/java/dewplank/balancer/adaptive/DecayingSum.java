package dewplank.balancer.adaptive;

/** A sum that decays exponentially over time; {@code value} is its value at the last addition. */
final class DecayingSum {
    double value;
    private final double timeConstantMs;
    private double lastAtMs;

    DecayingSum(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    void add(double nowMs, double amount) {
        value = valueAt(nowMs) + amount;
        lastAtMs = nowMs;
    }

    double valueAt(double nowMs) {
        return value * StrictMath.exp((lastAtMs - nowMs) / timeConstantMs);
    }
}
