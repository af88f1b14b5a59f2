package dewplank.quota;

/** The durations of the lease of a share, in milliseconds; the same on all control planes. */
final class ShareLease {
    /** The largest deviation of a monotonic clock's rate from real time, as a fraction. */
    static final double MAX_CLOCK_DRIFT = 0.02;
    /**
     * Duration of the lease. It is longer than the time for which the assigner's role is vacant when its holder
     * changes. The share of a control plane that has failed can be reassigned after this time.
     */
    static final double DURATION_MS = 4_000;
    /**
     * How long a control plane uses a share after it sent the heartbeat; within the lease even if its clock is slow.
     */
    static final double USABLE_MS = DURATION_MS * (1 - MAX_CLOCK_DRIFT);
    /**
     * How long the assigner counts a share as in force after the grant; at least the lease even if its clock is fast.
     */
    static final double IN_FORCE_MS = DURATION_MS * (1 + MAX_CLOCK_DRIFT);

    private ShareLease() {}
}
