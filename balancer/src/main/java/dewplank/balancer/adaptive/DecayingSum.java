package dewplank.balancer.adaptive;

/** A sum that decays exponentially with time; {@code value} is as of the last addition. */
final class DecayingSum {
    double value;
    private final double timeConstantMs;
    private double lastAtMs;

    DecayingSum(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    void add(double nowMs, double amount) {
        value = at(nowMs) + amount;
        lastAtMs = nowMs;
    }

    double at(double nowMs) {
        return value * Math.exp((lastAtMs - nowMs) / timeConstantMs);
    }
}
