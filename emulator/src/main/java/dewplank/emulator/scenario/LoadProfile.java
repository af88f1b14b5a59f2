package dewplank.emulator.scenario;

/**
 * The clients' load. Exactly one of {@code utilization} and {@code requestsPerSecond} is above 0.
 *
 * @param utilization arriving work, as a fraction of the capacity of all servers when warm
 * @param requestsPerSecond first attempts of all clients per second
 * @param swing relative deviation of the rate from its mean, for shapes that change
 * @param periodMs period of the shape
 */
public record LoadProfile(
        double utilization, double requestsPerSecond, LoadShape shape, double swing, double periodMs) {

    /** Returns a profile of the same shape with a load relative to the capacity. */
    LoadProfile withUtilization(double newUtilization) {
        return new LoadProfile(newUtilization, 0, shape, swing, periodMs);
    }

    /** Returns a profile of the same shape with an absolute load. */
    LoadProfile withRequestsPerSecond(double newRequestsPerSecond) {
        return new LoadProfile(0, newRequestsPerSecond, shape, swing, periodMs);
    }
}
