package dewplank.emulator.fleet;

/** Bounds of the rules, as settings files tell them and the auditor checks them. */
public final class FleetBounds {
    public static final int DRAIN_MS = 3_000;
    public static final int GRACE_S = 8;
    public static final int CONTACT_MS = 3_000;
    public static final int CONFIG_APPLY_MS = 2_000;
    public static final int ACK_MS = 4_000;
    public static final int LEASE_MS = 3_000;
    public static final int THAW_SLACK_MS = 300;
    static final double RETRY_RATIO = 0.2;
    /**
     * Short, as a data plane uses no part of the slack in the first third of a window, see {@code FleetSizeEstimator}.
     */
    public static final int BUDGET_WINDOW_S = 1;

    static final int RETRY_SLACK = 56;
    static final double LIST_RATE_PER_S = 44;
    static final int MAX_LAG_MS = 800;

    private FleetBounds() {}
}
