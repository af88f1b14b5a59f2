package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** When requests are to start, in milliseconds from the beginning; each call gives the next one. Never goes back. */
public interface Arrivals {
    /** After the last one. */
    double NO_MORE = Double.POSITIVE_INFINITY;

    double next();

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
     * @param perS     requests a second; at the beginning, where they change
     * @param toPerS   at the end of a ramp
     * @param steps    rates of equally long steps
     * @param swing    in bursts: how much more than {@code perS} it is for one half of a period, and less in the other
     * @param periodMs of bursts
     */
    record Plan(
            Shape shape,
            double perS,
            double toPerS,
            List<Double> steps,
            double swing,
            double periodMs,
            double lengthMs) {

        /** Requests a millisecond, at that time. */
        double rate(double at) {
            return switch (shape) {
                case POISSON, UNIFORM -> perS / 1000;
                case BURSTS -> perS / 1000 * (at % periodMs < periodMs / 2 ? 1 + swing : Math.max(0, 1 - swing));
                case RAMP -> (perS + (toPerS - perS) * at / lengthMs) / 1000;
                case STEPS -> steps.get((int) Math.min(steps.size() - 1, at / lengthMs * steps.size())) / 1000;
            };
        }

        double most() {
            return switch (shape) {
                case POISSON, UNIFORM -> perS / 1000;
                case BURSTS -> perS / 1000 * (1 + swing);
                case RAMP -> Math.max(perS, toPerS) / 1000;
                case STEPS -> steps.stream().mapToDouble(d -> d).max().orElse(0) / 1000;
            };
        }
    }

    /** One of {@code parts} equal parts of the plan's requests. Thinning, after Lewis and Shedler (1979). */
    static Arrivals of(Plan plan, int part, int parts, long seed) {
        UniformRandomProvider random = new RandomStreams(seed).stream("thinning", part);
        DoubleSupplier gap = RandomStreams.exponential(new RandomStreams(seed).stream("gaps", part));
        double most = plan.most() / parts;
        double[] at = {plan.shape() == Shape.UNIFORM ? part / plan.most() - 1 / most : 0};
        return () -> {
            if (most <= 0) {
                return NO_MORE;
            }
            do {
                at[0] += plan.shape() == Shape.UNIFORM ? 1 / most : gap.getAsDouble() / most;
            } while (at[0] < plan.lengthMs() && random.nextDouble() * plan.most() >= plan.rate(at[0]));
            return at[0] < plan.lengthMs() ? at[0] : NO_MORE;
        };
    }

    /** Recorded times, dealt out over the parts. */
    static Arrivals of(double[] times, int part, int parts) {
        int[] next = {part};
        return () -> {
            int i = next[0];
            next[0] += parts;
            return i < times.length ? times[i] : NO_MORE;
        };
    }
}
