package dewplank.dataplane;

import dewplank.configuration.WeightedService;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the service of a request from the weights of its route. */
final class TrafficSplit {
    private TrafficSplit() {}

    /** The service's name; one random number is drawn, also where there is a single service. */
    static String drawService(List<WeightedService> split, RandomGenerator random) {
        double total = split.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = random.nextDouble() * total;
        for (WeightedService weighted : split) {
            remaining -= weighted.weight();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        return split.get(split.size() - 1).service(); // the sum and the differences are rounded
    }
}
