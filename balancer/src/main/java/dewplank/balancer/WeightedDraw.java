package dewplank.balancer;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Weighted random selection. A second draw that excludes the first implements the power of two choices
 * (Mitzenmacher, IEEE TPDS 12(10), 2001). Stateless.
 */
public final class WeightedDraw {
    private WeightedDraw() {}

    /**
     * Draws one item by weight. Always consumes exactly one random number, even for an empty list.
     *
     * @param excluded never drawn; may be null
     * @param weight 0 or more; evaluated up to twice per item, so it must not change in between
     * @return null if the list contains no item other than the excluded one; the last item if all weights
     *     are 0
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
