package dewplank.emulator.fleet;

/** Bounds that the settings files set for the programs and that the auditor checks. */
public final class FleetBounds {
    /** Time for which requests may still reach a server after it is listed as draining. */
    public static final int DRAIN_MS = 3_000;
    /** Time within which a process exits after SIGTERM. */
    public static final int GRACE_S = 8;
    /** Time for which a machine must have been connected to the majority before time bounds apply to it. */
    public static final int CONTACT_MS = 3_000;
    /** Time within which all machines apply an acknowledged configuration. */
    public static final int CONFIG_APPLY_MS = 2_000;
    /** Time within which a data plane responds to a request that it has read, or forwards it. */
    public static final int LOSS_SLACK_MS = 200;
    /** Value of the setting {@code ack_ms}. */
    public static final int ACK_MS = 4_000;
    /** Duration of the lease of a singleton role. */
    public static final int LEASE_MS = 3_000;
    /** Time for which a resumed process may act on the state from before its pause. */
    public static final int THAW_SLACK_MS = 300;
    /** Time after the acknowledgement of a key's revocation from which no request with the key is sent to a server. */
    public static final int REVOKE_MS = 5_000;
    /** Window in which a tenant's requests are counted. */
    public static final int QUOTA_WINDOW_S = 4;
    /** Fraction of a tenant's limit that may be served beyond the limit. */
    public static final double QUOTA_OVERSHOOT = 0.1;
    /** Requests of a tenant that may be served in each window in addition to limit and overshoot. */
    public static final int QUOTA_SLACK = 5;
    /** Maximum ratio of retries to requests. */
    static final double RETRY_BUDGET_RATIO = 0.2;
    /**
     * Window of the retry budget. It is short because a data plane uses no slack in the first third of a window, see
     * {@code FleetSizeEstimator}.
     */
    public static final int BUDGET_WINDOW_S = 1;

    /** Retries that the whole fleet may make in each window in addition to the ratio. */
    static final int RETRY_BUDGET_SLACK = 56;
    /** Requests for the endpoint list that the platform accepts per second. */
    static final double MAX_LIST_REQUESTS_PER_S = 44;
    /** Maximum age of the platform's endpoint list. */
    static final int MAX_LIST_AGE_MS = 800;

    private FleetBounds() {}
}
