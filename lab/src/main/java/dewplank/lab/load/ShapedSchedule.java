package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates starts at a rate that follows a shape over time.
 *
 * @param ratePerSecond the rate; for a ramp the initial rate, for bursts the base rate
 * @param finalRatePerSecond rate at the end of a ramp
 * @param stepRatesPerSecond rates of the steps, which have equal lengths
 * @param swing for bursts, the fraction of the rate that is added in the first half of each period and subtracted in
 *     the second half
 * @param periodMs for bursts, the length of a period
 */
public record ShapedSchedule(
        Shape shape,
        double ratePerSecond,
        double finalRatePerSecond,
        List<Double> stepRatesPerSecond,
        double swing,
        double periodMs,
        double durationMs)
        implements Schedule {

    /** How the rate changes over time. The command accepts the names in lower case. */
    public enum Shape {
        /** A constant rate with exponentially distributed gaps. */
        POISSON,
        /** A constant rate with equal gaps. */
        UNIFORM,
        /** A rate that alternates between a value above the base rate and one below it. */
        BURSTS,
        /** A rate that changes linearly from one value to another. */
        RAMP,
        /** Several rates in sequence, each for the same time. */
        STEPS
    }

    /** A constant rate with exponentially distributed gaps. */
    public static ShapedSchedule poisson(double ratePerSecond, double durationMs) {
        return new ShapedSchedule(Shape.POISSON, ratePerSecond, 0, List.of(), 0, 1, durationMs);
    }

    /** A constant rate with equal gaps. */
    static ShapedSchedule uniform(double ratePerSecond, double durationMs) {
        return new ShapedSchedule(Shape.UNIFORM, ratePerSecond, 0, List.of(), 0, 1, durationMs);
    }

    @Override
    public Arrivals arrivals(int part, int parts, long seed) {
        return new ThinnedArrivals(this, part, parts, seed);
    }

    private double ratePerMs(double timeMs) {
        return switch (shape) {
            case POISSON, UNIFORM -> ratePerSecond / 1000;
            case BURSTS -> ratePerSecond
                    / 1000
                    * (timeMs % periodMs < periodMs / 2 ? 1 + swing : Math.max(0, 1 - swing));
            case RAMP -> (ratePerSecond + (finalRatePerSecond - ratePerSecond) * timeMs / durationMs) / 1000;
            case STEPS -> stepRatesPerSecond.get(stepAt(timeMs)) / 1000;
        };
    }

    private int stepAt(double timeMs) {
        int count = stepRatesPerSecond.size();
        return (int) Math.min(count - 1, timeMs / durationMs * count);
    }

    private double maxRatePerMs() {
        return switch (shape) {
            case POISSON, UNIFORM -> ratePerSecond / 1000;
            case BURSTS -> ratePerSecond / 1000 * (1 + swing);
            case RAMP -> Math.max(ratePerSecond, finalRatePerSecond) / 1000;
            case STEPS -> stepRatesPerSecond.stream()
                            .mapToDouble(rate -> rate)
                            .max()
                            .orElse(0)
                    / 1000;
        };
    }

    /**
     * Draws starts at the maximum rate and keeps each with the probability of the current rate over the maximum (Lewis
     * and Shedler, "Simulation of nonhomogeneous Poisson processes by thinning", 1979).
     */
    private static final class ThinnedArrivals implements Arrivals {
        private final ShapedSchedule schedule;
        private final UniformRandomProvider thinning;
        private final DoubleSupplier gaps; // with mean 1
        private final double maxRatePerMs;
        private final double maxPartRatePerMs;
        private double lastMs;

        ThinnedArrivals(ShapedSchedule schedule, int part, int parts, long seed) {
            this.schedule = schedule;
            this.thinning = new RandomStreams(seed).stream("thinning", part);
            this.maxRatePerMs = schedule.maxRatePerMs();
            this.maxPartRatePerMs = maxRatePerMs / parts;
            if (schedule.shape == Shape.UNIFORM) { // the starts of all parts together have equal gaps
                this.gaps = () -> 1;
                this.lastMs = part / maxRatePerMs - 1 / maxPartRatePerMs;
            } else {
                this.gaps = RandomStreams.exponential(new RandomStreams(seed).stream("gaps", part));
            }
        }

        @Override
        public double nextMs() {
            if (maxPartRatePerMs <= 0) {
                return END;
            }
            do {
                lastMs += gaps.getAsDouble() / maxPartRatePerMs;
            } while (lastMs < schedule.durationMs && isDropped(lastMs));
            return lastMs < schedule.durationMs ? lastMs : END;
        }

        private boolean isDropped(double timeMs) {
            return thinning.nextDouble() * maxRatePerMs >= schedule.ratePerMs(timeMs);
        }
    }
}
