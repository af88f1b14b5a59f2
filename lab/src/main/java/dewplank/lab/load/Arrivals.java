package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** When requests are to start, in milliseconds from the beginning; each call gives the next one. Never goes back. */
public interface Arrivals {
    /** After the last one. */
    double END = Double.POSITIVE_INFINITY;

    double nextMs();

    /** Shapes of a load over time. */
    enum Shape {
        POISSON,
        UNIFORM,
        BURSTS,
        RAMP,
        STEPS
    }

    /**
     * The plan of a load: its shape and rates.
     *
     * @param ratePerSecond requests a second; at the beginning, where the rate changes
     * @param finalRatePerSecond at the end of a ramp
     * @param stepRatesPerSecond rates of equally long steps
     * @param swing of bursts: what is added to the rate in one half of a period, and taken off in the other, as a
     *     part of it
     * @param periodMs of bursts
     */
    record Plan(
            Shape shape,
            double ratePerSecond,
            double finalRatePerSecond,
            List<Double> stepRatesPerSecond,
            double swing,
            double periodMs,
            double durationMs) {

        /** Requests a millisecond, at that time. */
        double ratePerMs(double atMs) {
            return switch (shape) {
                case POISSON, UNIFORM -> ratePerSecond / 1000;
                case BURSTS -> ratePerSecond
                        / 1000
                        * (atMs % periodMs < periodMs / 2 ? 1 + swing : Math.max(0, 1 - swing));
                case RAMP -> (ratePerSecond + (finalRatePerSecond - ratePerSecond) * atMs / durationMs) / 1000;
                case STEPS -> stepRatesPerSecond.get((int)
                                Math.min(stepRatesPerSecond.size() - 1, atMs / durationMs * stepRatesPerSecond.size()))
                        / 1000;
            };
        }

        double maxRatePerMs() {
            return switch (shape) {
                case POISSON, UNIFORM -> ratePerSecond / 1000;
                case BURSTS -> ratePerSecond / 1000 * (1 + swing);
                case RAMP -> Math.max(ratePerSecond, finalRatePerSecond) / 1000;
                case STEPS -> stepRatesPerSecond.stream()
                                .mapToDouble(d -> d)
                                .max()
                                .orElse(0)
                        / 1000;
            };
        }
    }

    /** One of {@code count} equal parts of the plan's requests. Thinning, after Lewis and Shedler (1979). */
    static Arrivals of(Plan plan, int index, int count, long seed) {
        UniformRandomProvider random = new RandomStreams(seed).stream("thinning", index);
        DoubleSupplier gaps = RandomStreams.exponential(new RandomStreams(seed).stream("gaps", index));
        double maxRatePerMs = plan.maxRatePerMs() / count;
        double[] nextMs = {plan.shape() == Shape.UNIFORM ? index / plan.maxRatePerMs() - 1 / maxRatePerMs : 0};
        return () -> {
            if (maxRatePerMs <= 0) {
                return END;
            }
            do {
                nextMs[0] += plan.shape() == Shape.UNIFORM ? 1 / maxRatePerMs : gaps.getAsDouble() / maxRatePerMs;
            } while (nextMs[0] < plan.durationMs()
                    && random.nextDouble() * plan.maxRatePerMs() >= plan.ratePerMs(nextMs[0]));
            return nextMs[0] < plan.durationMs() ? nextMs[0] : END;
        };
    }

    /** Recorded times, dealt out over the parts. */
    static Arrivals of(double[] startTimesMs, int index, int count) {
        int[] next = {index};
        return () -> {
            int current = next[0];
            next[0] += count;
            return current < startTimesMs.length ? startTimesMs[current] : END;
        };
    }
}
