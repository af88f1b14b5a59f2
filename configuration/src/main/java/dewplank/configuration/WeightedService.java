package dewplank.configuration;

/**
 * One service of a route's split.
 *
 * @param service the service's name
 * @param weight its weight, 0 or more: it gets this part of the sum of the split's weights
 */
public record WeightedService(String service, double weight) {}
