package dewplank.singleton;

/**
 * The times of the lease of a singleton role and of the elections for it, in milliseconds. Immutable; every
 * {@link Candidate} and {@link LeaseVoter} of a fleet must have the same.
 *
 * @param leaseMs how long a vote binds its voter
 * @param marginMs how much earlier than its voters a lease holder ends its lease: it covers clocks that run at
 *        different speeds, and the time between a call of {@link Candidate#isLeaseHolder} and the act that rests on it
 * @param voteTimeoutMs how long a candidate waits for the replies to a probe or to a request for votes
 * @param electionDelayMs the bound below which the delay before an election is drawn; doubles with each failed one
 */
public record LeaseTiming(double leaseMs, double marginMs, double voteTimeoutMs, double electionDelayMs) {
    /** A twentieth is far beyond the drift of steady clocks, and leaves the holder two attempts at every renewal. */
    private static final double MARGIN_FRACTION = 1.0 / 20;
    /**
     * Short, as each round with a voter that is down waits it out. It must cover a round trip to the furthest voter and
     * a synced write, so a lease below two seconds between regions needs other times.
     */
    private static final double VOTE_TIMEOUT_FRACTION = 1.0 / 10;
    /** A few round trips wide, so that the first candidate has mostly won before the second begins. */
    private static final double ELECTION_DELAY_FRACTION = 1.0 / 12;
    /** Two renewals may be lost before a lease expires. */
    private static final double RENEWALS_PER_LEASE = 3;
    /** Five candidates part within it; a longer delay only keeps a vacant role waiting. */
    private static final double MAX_ELECTION_DELAY_FRACTION = 1.0 / 4;

    /**
     * Of {@code catch_up_s}, by when a loss is made good. A vacancy ends within two leases (measured by the tests), so
     * within 0.6 of it. A loss is noticed and a newcomer settles meanwhile, on all control planes alike. What is left
     * is for the reconfigurer's next check (0.5 s) and the change of the set: 1.6 s of 4 s.
     */
    private static final double LEASE_FRACTION_OF_CATCH_UP = 0.3;
    /**
     * Of {@code contact_ms} and {@code drain_ms}, by when a drain must be in force that the platform reports just as
     * the holder ends: 0.8 of it for the vacancy, 0.6 s of 3 s to query the platform (each 0.4 s) and to publish.
     */
    private static final double LEASE_FRACTION_OF_CONTACT = 0.4;
    /** Below it a vote's time-out would not cover a round trip with a synced write: no shorter bound can be kept. */
    private static final double MIN_LEASE_MS = 600;

    /**
     * The lease that the operators' bounds leave time for; the same on all machines, as the bounds are.
     *
     * @param catchUpMs the time in which a loss is to be made good
     * @param contactMs the time after which a machine counts as in touch again
     * @param drainMs the time in which a drain is to be in force
     */
    public static double leaseMs(double catchUpMs, double contactMs, double drainMs) {
        return Math.max(
                MIN_LEASE_MS,
                Math.min(
                        LEASE_FRACTION_OF_CATCH_UP * catchUpMs,
                        LEASE_FRACTION_OF_CONTACT * Math.min(contactMs, drainMs)));
    }

    /**
     * The times that go with a lease.
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

    /** How long a holder may count on votes, from the moment at which it sent the request for them. */
    double holderLeaseMs() {
        return leaseMs - marginMs;
    }

    /** The bound below which the delay before an election is drawn, after so many that failed in a row. */
    double maxElectionDelayMs(int failedElections) {
        return Math.min(Math.scalb(electionDelayMs, failedElections), leaseMs * MAX_ELECTION_DELAY_FRACTION);
    }
}
