package dewplank.quota;

/** The times of the lease of a share, in milliseconds, the same on all control planes. */
final class ShareLease {
    /** How far the rate of a steady clock may be from true time, as a fraction. */
    static final double MAX_CLOCK_DRIFT = 0.02;
    /** Vacancies of the assigner's role are shorter; and what a lost control plane held is free again after it. */
    static final double DURATION_MS = 4_000;
    /** How long a user counts on a share, from when it sent the heartbeat: within the lease by a slow clock too. */
    static final double USER_MS = DURATION_MS * (1 - MAX_CLOCK_DRIFT);
    /** How long an assigner counts a share as in force, from its grant: not below the lease by a fast clock either. */
    static final double ASSIGNER_MS = DURATION_MS * (1 + MAX_CLOCK_DRIFT);

    private ShareLease() {}
}
