package dewplank.balancer.adaptive;

/** A mean of all samples at first, later an exponential moving average. */
final class RunningMean {
    double value;
    long count;

    RunningMean(double initialValue) {
        this.value = initialValue;
    }

    void add(double sample, double minAlpha) {
        value += (sample - value) * Math.max(1.0 / ++count, minAlpha);
    }
}
