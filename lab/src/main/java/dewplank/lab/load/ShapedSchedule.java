package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Starts at a rate that follows a shape over time.
 *
 * @param ratePerSecond at the beginning, where the rate changes
 * @param finalRatePerSecond at the end of a ramp
 * @param stepRatesPerSecond rates of equally long steps
 * @param swing of bursts: what is added to the rate in one half of a period and taken off in the other, as a part of it
 * @param periodMs of bursts
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

    /** How the rate goes on over time; the names in lower case are those that the command takes. */
    public enum Shape {
        /** One rate, with exponential gaps. */
        POISSON,
        /** One rate, with equal gaps. */
        UNIFORM,
        /** Above and below one rate in turn. */
        BURSTS,
        /** From one rate to another, linearly. */
        RAMP,
        /** One rate after the other, each for equally long. */
        STEPS
    }

    /** Exponential gaps at one rate. */
    public static ShapedSchedule poisson(double ratePerSecond, double durationMs) {
        return new ShapedSchedule(Shape.POISSON, ratePerSecond, 0, List.of(), 0, 1, durationMs);
    }

    /** Equal gaps at one rate. */
    static ShapedSchedule uniform(double ratePerSecond, double durationMs) {
        return new ShapedSchedule(Shape.UNIFORM, ratePerSecond, 0, List.of(), 0, 1, durationMs);
    }

    @Override
    public Arrivals arrivals(int part, int parts, long seed) {
        return new ThinnedArrivals(this, part, parts, seed);
    }

    private double ratePerMs(double atMs) {
        return switch (shape) {
            case POISSON, UNIFORM -> ratePerSecond / 1000;
            case BURSTS -> ratePerSecond / 1000 * (atMs % periodMs < periodMs / 2 ? 1 + swing : Math.max(0, 1 - swing));
            case RAMP -> (ratePerSecond + (finalRatePerSecond - ratePerSecond) * atMs / durationMs) / 1000;
            case STEPS -> stepRatesPerSecond.get(stepAt(atMs)) / 1000;
        };
    }

    private int stepAt(double atMs) {
        int count = stepRatesPerSecond.size();
        return (int) Math.min(count - 1, atMs / durationMs * count);
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
     * Draws starts at the highest rate and drops each with the chance that the rate of its moment leaves (Lewis and
     * Shedler, "Simulation of nonhomogeneous Poisson processes by thinning", 1979).
     */
    private static final class ThinnedArrivals implements Arrivals {
        private final ShapedSchedule schedule;
        private final UniformRandomProvider thinning;
        private final DoubleSupplier gaps; // of mean 1
        private final double maxRatePerMs;
        private final double maxPartRatePerMs;
        private double lastMs;

        ThinnedArrivals(ShapedSchedule schedule, int part, int parts, long seed) {
            this.schedule = schedule;
            this.thinning = new RandomStreams(seed).stream("thinning", part);
            this.maxRatePerMs = schedule.maxRatePerMs();
            this.maxPartRatePerMs = maxRatePerMs / parts;
            if (schedule.shape == Shape.UNIFORM) { // parts take turns: the first start of each is one gap of all apart
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

        private boolean isDropped(double atMs) {
            return thinning.nextDouble() * maxRatePerMs >= schedule.ratePerMs(atMs);
        }
    }
}
