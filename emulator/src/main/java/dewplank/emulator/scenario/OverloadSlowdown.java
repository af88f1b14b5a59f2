package dewplank.emulator.scenario;

/**
 * The slowdown of a server under a sustained overload.
 *
 * @param maxRequestsPerCore requests in flight above which it is overloaded; 0 disables the slowdown
 * @param triggerMs duration of an overload after which the server slows down
 * @param factor factor by which the server slows down
 * @param recoveryMs time below the recovery limit after which the server recovers
 * @param recoveryFactor recovery limit, as a fraction of {@code maxRequestsPerCore}
 * @param maxMs maximum duration of the slowdown
 */
public record OverloadSlowdown(
        double maxRequestsPerCore,
        double triggerMs,
        double factor,
        double recoveryMs,
        double recoveryFactor,
        double maxMs) {}
