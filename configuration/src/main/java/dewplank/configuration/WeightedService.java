package dewplank.configuration;

/**
 * A service's part of a route's requests.
 *
 * @param service the service's name
 * @param weight its part, in relation to the sum of the split's weights
 */
public record WeightedService(String service, double weight) {}
