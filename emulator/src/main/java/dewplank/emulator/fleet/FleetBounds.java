package dewplank.emulator.fleet;

/** Bounds that the settings files give to the programs and that the auditor checks. */
public final class FleetBounds {
    /** After a server is listed as draining, requests may reach it for so long. */
    public static final int DRAIN_MS = 3_000;
    /** A process has so long to end after SIGTERM. */
    public static final int GRACE_S = 8;
    /** Rules with a time bound apply to a machine that has had a path to the majority for so long. */
    public static final int CONTACT_MS = 3_000;
    /** An acknowledged configuration is in force everywhere after so long. */
    public static final int CONFIG_APPLY_MS = 2_000;
    /** A request that was read has its response, or is passed on, within so long. */
    public static final int LOSS_SLACK_MS = 200;
    /** As {@code ack_ms} of the settings. */
    public static final int ACK_MS = 4_000;
    /** Length of the lease of a singleton role. */
    public static final int LEASE_MS = 3_000;
    /** After a thaw, a process may act on its earlier state for so long. */
    public static final int THAW_SLACK_MS = 300;
    /** A request is not sent later than so long after the acknowledgement that took its key away. */
    public static final int REVOKE_MS = 5_000;
    /** Window in which a tenant's requests are counted. */
    public static final int QUOTA_WINDOW_S = 4;
    /** Share of a tenant's limit that may be served beyond it. */
    public static final double QUOTA_OVERSHOOT = 0.1;
    /** Requests of a tenant that may be served besides in each window. */
    public static final int QUOTA_SLACK = 5;
    /** Retries as a share of requests. */
    static final double RETRY_RATIO = 0.2;
    /**
     * Window of the retry budget; short, as a data plane uses no slack in the first third of a window, see {@code
     * FleetSizeEstimator}.
     */
    public static final int BUDGET_WINDOW_S = 1;

    /** Retries of the whole fleet in each window beyond the share. */
    static final int RETRY_SLACK = 56;
    /** Calls for the endpoint list that the platform accepts. */
    static final double LIST_RATE_PER_S = 44;
    /** How old the platform's list may be. */
    static final int MAX_LAG_MS = 800;

    private FleetBounds() {}
}
