package dewplank.lab;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/** A mean and the half width of its 95 % interval (Student's t); NaN where one value alone gives none. */
public record Statistics(int n, double mean, double halfWidth, double min, double max) {
    private static final double TAIL = 0.975;

    public static Statistics of(List<Double> values) {
        SummaryStatistics s = new SummaryStatistics();
        values.forEach(s::addValue);
        int n = (int) s.getN();
        double half = n < 2
                ? Double.NaN
                : new TDistribution(null, n - 1).inverseCumulativeProbability(TAIL)
                        * s.getStandardDeviation()
                        / Math.sqrt(n);
        return new Statistics(n, s.getMean(), half, s.getMin(), s.getMax());
    }

    /** Whether 0 lies outside the interval: a difference that is more than chance. */
    public boolean differs() {
        return !Double.isNaN(halfWidth) && Math.abs(mean) > halfWidth;
    }
}
