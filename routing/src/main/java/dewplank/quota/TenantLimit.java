package dewplank.quota;

/**
 * The limit of one tenant over the whole fleet. Immutable.
 *
 * @param tenant the tenant's name
 * @param ratePerSecond requests that are admitted in a second; 0 where they are not limited
 * @param burst requests that are admitted beyond the rate
 */
public record TenantLimit(String tenant, double ratePerSecond, double burst) {
    private static final double MS_PER_SECOND = 1000;

    /** Whether the tenant's requests are limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** Requests that are admitted in a millisecond. */
    double ratePerMs() {
        return ratePerSecond / MS_PER_SECOND;
    }
}
