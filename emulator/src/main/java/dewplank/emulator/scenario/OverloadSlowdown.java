package dewplank.emulator.scenario;

/**
 * How a server slows down under too many requests.
 *
 * @param maxRequestsPerCore requests in flight above which it is overloaded; 0 where nothing slows it down
 * @param triggerMs duration of an overload after which it slows down
 * @param factor how many times slower it gets
 * @param recoveryMs duration of fewer requests after which it recovers
 * @param recoveryFactor fraction of {@code maxRequestsPerCore} up to which it recovers
 * @param maxMs longest duration of the slowdown
 */
public record OverloadSlowdown(
        double maxRequestsPerCore,
        double triggerMs,
        double factor,
        double recoveryMs,
        double recoveryFactor,
        double maxMs) {}
