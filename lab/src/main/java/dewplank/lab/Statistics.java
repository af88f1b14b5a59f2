package dewplank.lab;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/** A mean and the half width of its 95 % interval (Student's t); NaN where one value alone gives none. */
public record Statistics(int count, double mean, double halfWidth, double min, double max) {
    private static final double UPPER_QUANTILE = 0.975;

    public static Statistics of(List<Double> values) {
        SummaryStatistics summary = new SummaryStatistics();
        values.forEach(summary::addValue);
        int count = (int) summary.getN();
        double halfWidth = count < 2
                ? Double.NaN
                : new TDistribution(null, count - 1).inverseCumulativeProbability(UPPER_QUANTILE)
                        * summary.getStandardDeviation()
                        / Math.sqrt(count);
        return new Statistics(count, summary.getMean(), halfWidth, summary.getMin(), summary.getMax());
    }

    /** Whether 0 lies outside the interval: a difference that is more than chance. */
    public boolean differs() {
        return !Double.isNaN(halfWidth) && Math.abs(mean) > halfWidth;
    }
}
