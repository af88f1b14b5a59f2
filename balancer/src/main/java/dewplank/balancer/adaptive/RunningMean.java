package dewplank.balancer.adaptive;

/** An average: of all samples at first, then one that follows each sample by a fixed step. */
final class RunningMean {
    double value;
    long count;

    RunningMean(double firstGuess) {
        this.value = firstGuess;
    }

    void add(double sample, double minStep) {
        value += (sample - value) * Math.max(1.0 / ++count, minStep);
    }
}
