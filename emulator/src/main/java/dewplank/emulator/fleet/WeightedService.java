package dewplank.emulator.fleet;

/** A service that a route sends requests to; a weight of 0 sends none. */
public record WeightedService(String service, int weight) {}
