package dewplank.balancer;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Draws by weight; a second draw that leaves out the first gives "the power of two choices". */
public final class WeightedDraw {
    private WeightedDraw() {}

    /** One by weight, never {@code but}; null if there is no other. */
    public static <T> T draw(List<T> from, T but, ToDoubleFunction<T> weight, RandomGenerator random) {
        double total = 0;
        for (T s : from) {
            total += s == but ? 0 : weight.applyAsDouble(s);
        }
        double at = random.nextDouble() * total;
        T last = null;
        for (T s : from) {
            if (s != but && !(at < 0)) {
                last = s;
                at -= weight.applyAsDouble(s);
            }
        }
        return last;
    }
}
