package dewplank.emulator.fleet;

/** A service that a route sends requests to, with its weight; a service with weight 0 receives none. */
public record WeightedService(String service, int weight) {}
