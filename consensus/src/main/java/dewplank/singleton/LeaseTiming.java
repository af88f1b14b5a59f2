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
    /**
     * The margin as a fraction of the lease. It far exceeds the drift of monotonic clocks, and leaves the lease holder
     * two attempts to renew the lease before it expires.
     */
    private static final double MARGIN_FRACTION = 1.0 / 20;
    /**
     * The vote timeout as a fraction of the lease. It is short because a round with a voter that is down may last until
     * the timeout. It must cover a round trip to the most distant voter and a synced write, so a lease below two
     * seconds between regions needs other values.
     */
    private static final double VOTE_TIMEOUT_FRACTION = 1.0 / 10;
    /**
     * The upper bound of the first election delay, as a fraction of the lease. It amounts to a few round trips, so that
     * the first candidate has usually won before the second one starts its election.
     */
    private static final double ELECTION_DELAY_FRACTION = 1.0 / 12;
    /** The number of renewal intervals in a lease. A lease expires once two renewals in a row are lost. */
    private static final double RENEWALS_PER_LEASE = 3;
    /**
     * The limit of the election delay after failed elections, as a fraction of the lease. It suffices to separate the
     * elections of five candidates; a longer delay would only prolong a vacancy.
     */
    private static final double MAX_ELECTION_DELAY_FRACTION = 1.0 / 4;

    /**
     * The maximum lease as a fraction of {@code catch_up_s}, the time within which a lost process must be replaced. A
     * vacancy ends within two leases (measured by the tests), which is 0.6 of that time. Meanwhile every control plane
     * detects the loss, and a new process becomes eligible as a replacement. The remaining 1.6 s of 4 s are for the
     * reconfigurer's next check (0.5 s) and the change of the voter set.
     */
    private static final double LEASE_FRACTION_OF_CATCH_UP = 0.3;
    /**
     * The maximum lease as a fraction of {@code contact_ms} and {@code drain_ms}, the time within which a drain must
     * take effect even if the platform reports it just as the lease holder terminates. The vacancy may take 0.8 of it.
     * The remaining 0.6 s of 3 s are for the query to the platform (sent every 0.4 s) and for publishing the list.
     */
    private static final double LEASE_FRACTION_OF_CONTACT = 0.4;
    /**
     * The minimum lease. With a shorter one, the vote timeout would not cover a round trip with a synced write, so
     * bounds of the operators that require a shorter lease can't be met.
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
