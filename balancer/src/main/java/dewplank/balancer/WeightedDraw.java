package dewplank.balancer;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Draws at random by weight; a second draw that excludes the first gives "the power of two choices"
 * (Mitzenmacher, IEEE TPDS 12(10), 2001). Stateless.
 */
public final class WeightedDraw {
    private WeightedDraw() {}

    /**
     * Draws one by weight and takes exactly one number from the generator, whatever the list holds.
     *
     * @param excluded never drawn; may be null
     * @param weight 0 or more; called up to twice for each item, so it must not change in between
     * @return null if there is no other than the excluded one; the last one where all weigh nothing
     */
    public static <T> T draw(List<T> items, T excluded, ToDoubleFunction<T> weight, RandomGenerator random) {
        double total = 0;
        for (T item : items) {
            total += item == excluded ? 0 : weight.applyAsDouble(item);
        }
        double remaining = random.nextDouble() * total;
        T drawn = null;
        for (T item : items) {
            if (item != excluded && !(remaining < 0)) {
                drawn = item;
                remaining -= weight.applyAsDouble(item);
            }
        }
        return drawn;
    }
}
