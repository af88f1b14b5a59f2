package dewplank.configuration;

/**
 * A service of a route's split and its weight.
 *
 * @param service the service's name
 * @param weight its weight, 0 or more; its share of the requests is its weight divided by the sum of all weights in the
 *     split
 */
public record WeightedService(String service, double weight) {}
