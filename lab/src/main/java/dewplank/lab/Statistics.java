package dewplank.lab;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean with its 95 % confidence interval by Student's t-distribution.
 *
 * @param count number of values; all figures are NaN if it is 0
 * @param halfWidth half width of the interval; NaN for fewer than two values
 */
public record Statistics(int count, double mean, double halfWidth, double min, double max) {
    /** The upper quantile of the two-sided 95 % interval. */
    private static final double UPPER_QUANTILE = 0.975;

    public static Statistics of(List<Double> values) {
        SummaryStatistics summary = new SummaryStatistics();
        values.forEach(summary::addValue);
        int count = (int) summary.getN();
        return new Statistics(count, summary.getMean(), halfWidth(summary), summary.getMin(), summary.getMax());
    }

    /** The statistics of one figure over the runs of one policy. */
    static Statistics of(List<Result> runs, String policy, Figure figure) {
        return of(runs.stream()
                .filter(run -> run.policy().equals(policy))
                .map(run -> run.figure(figure))
                .toList());
    }

    private static double halfWidth(SummaryStatistics summary) {
        int count = (int) summary.getN();
        if (count < 2) {
            return Double.NaN;
        }
        double quantile = new TDistribution(null, count - 1).inverseCumulativeProbability(UPPER_QUANTILE);
        return quantile * summary.getStandardDeviation() / Math.sqrt(count);
    }

    /** Whether 0 is outside the interval, so that a difference is statistically significant. */
    public boolean isSignificant() {
        return !Double.isNaN(halfWidth) && Math.abs(mean) > halfWidth;
    }
}
