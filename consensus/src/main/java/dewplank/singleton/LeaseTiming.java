package dewplank.singleton;

/**
 * The durations of a singleton role's lease and of its elections, in milliseconds. Immutable; every {@link Candidate}
 * and {@link LeaseVoter} of a fleet must use the same values.
 *
 * @param leaseMs how long a vote binds its voter
 * @param marginMs how much earlier than its voters a lease holder considers its lease expired; covers clocks that run
 *        at different speeds, and the time between a call of {@link Candidate#isLeaseHolder} and the action that
 *        requires the lease
 * @param voteTimeoutMs how long a candidate waits for the replies to a probe or to a request for votes
 * @param electionDelayMs the upper bound of the random delay before an election; doubles with each failed election
 */
public record LeaseTiming(double leaseMs, double marginMs, double voteTimeoutMs, double electionDelayMs) {
    /** Far more than the drift of monotonic clocks, and leaves the holder two attempts to renew before the expiry. */
    private static final double MARGIN_FRACTION = 1.0 / 20;
    /**
     * Short, because a round with a voter that is down may last for the whole time-out. It must cover a round trip to
     * the most distant voter and a synced write, so a lease below two seconds between regions needs other values.
     */
    private static final double VOTE_TIMEOUT_FRACTION = 1.0 / 10;
    /** A few round trips, so that the first candidate has usually won before the second one starts its election. */
    private static final double ELECTION_DELAY_FRACTION = 1.0 / 12;
    /** A lease expires once two renewals in a row are lost. */
    private static final double RENEWALS_PER_LEASE = 3;
    /** Enough to separate the elections of five candidates; a longer delay only prolongs a vacancy. */
    private static final double MAX_ELECTION_DELAY_FRACTION = 1.0 / 4;

    /**
     * Fraction of {@code catch_up_s}, the time within which a lost process must be replaced. A vacancy ends within two
     * leases (measured by the tests), which is 0.6 of that time. Meanwhile every control plane detects the loss, and a
     * new process becomes eligible as a replacement. The remaining 1.6 s of 4 s are for the reconfigurer's next check
     * (0.5 s) and the change of the voter set.
     */
    private static final double LEASE_FRACTION_OF_CATCH_UP = 0.3;
    /**
     * Fraction of {@code contact_ms} and {@code drain_ms}, the time within which a drain must take effect even if the
     * platform reports it just as the lease holder terminates. The vacancy may take 0.8 of it. The remaining 0.6 s of
     * 3 s are for the query to the platform (sent every 0.4 s) and for publishing the list.
     */
    private static final double LEASE_FRACTION_OF_CONTACT = 0.4;
    /**
     * With a shorter lease, the vote time-out would not cover a round trip with a synced write. Shorter bounds of the
     * operators therefore can't be met.
     */
    private static final double MIN_LEASE_MS = 600;

    /**
     * Returns the lease duration that satisfies the operators' bounds, or the shortest possible one. All machines
     * compute the same value, because the bounds are the same on all of them.
     *
     * @param catchUpMs the time within which a lost process must be replaced
     * @param contactMs the time after which a machine counts as being in contact again
     * @param drainMs the time within which a drain must take effect
     */
    public static double leaseMs(double catchUpMs, double contactMs, double drainMs) {
        return Math.max(
                MIN_LEASE_MS,
                Math.min(
                        LEASE_FRACTION_OF_CATCH_UP * catchUpMs,
                        LEASE_FRACTION_OF_CONTACT * Math.min(contactMs, drainMs)));
    }

    /**
     * Returns the durations that belong to a lease.
     *
     * @param leaseMs how long a vote binds its voter
     */
    public static LeaseTiming ofLease(double leaseMs) {
        return new LeaseTiming(
                leaseMs, leaseMs * MARGIN_FRACTION, leaseMs * VOTE_TIMEOUT_FRACTION, leaseMs * ELECTION_DELAY_FRACTION);
    }

    /** The time from one renewal to the next. */
    double renewIntervalMs() {
        return leaseMs / RENEWALS_PER_LEASE;
    }

    /** How long a lease holder may rely on its votes, counted from the time at which it sent the request for them. */
    double holderLeaseMs() {
        return leaseMs - marginMs;
    }

    /** The upper bound of the random delay before an election, after this number of consecutive failed elections. */
    double maxElectionDelayMs(int failedElections) {
        return Math.min(Math.scalb(electionDelayMs, failedElections), leaseMs * MAX_ELECTION_DELAY_FRACTION);
    }
}
