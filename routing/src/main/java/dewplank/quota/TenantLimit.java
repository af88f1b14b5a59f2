package dewplank.quota;

/**
 * The limit of one tenant over the whole fleet. Immutable.
 *
 * @param tenant the tenant's name
 * @param ratePerSecond the number of requests admitted per second; 0 if the tenant is not limited
 * @param burst the number of requests admitted beyond the rate
 */
public record TenantLimit(String tenant, double ratePerSecond, double burst) {
    private static final double MS_PER_SECOND = 1000;

    /** Whether the tenant's requests are limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** The number of requests admitted per millisecond. */
    double ratePerMs() {
        return ratePerSecond / MS_PER_SECOND;
    }
}
