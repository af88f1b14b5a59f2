package dewplank.dataplane;

import dewplank.configuration.WeightedService;
import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses the service of a request at random by the weights of its route. */
final class TrafficSplit {
    private TrafficSplit() {}

    /** Returns the service's name. Draws one random number, even if there is a single service. */
    static String drawService(List<WeightedService> split, RandomGenerator random) {
        double total = split.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = random.nextDouble() * total;
        for (WeightedService weighted : split) {
            remaining -= weighted.weight();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        return split.get(split.size() - 1)
                .service(); // reached only if rounding errors leave a remainder after the last weight
    }
}
