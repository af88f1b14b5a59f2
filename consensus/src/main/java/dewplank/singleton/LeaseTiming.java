package dewplank.singleton;

/**
 * The times of a duty's ballots.
 *
 * @param leaseMs how long a vote binds its voter; the same at every voter and candidate
 * @param marginMs how much earlier than its voters a holder ends its lease: it covers clocks that run at different
 *        speeds, and the time between a look at {@link Candidate#isLeaseHolder} and the act that rests on it
 * @param ballotMs how long a candidate waits for votes
 * @param jitterMs the window from which the delay before a ballot is drawn; it doubles with each ballot that failed
 */
public record LeaseTiming(double leaseMs, double marginMs, double ballotMs, double jitterMs) {
    /** A twentieth is far beyond the drift of steady clocks, and leaves the holder two tries at every renewal. */
    private static final double MARGIN_PART = 1.0 / 20;
    /**
     * Short, as each ballot with a voter that is down waits it out; it must cover a round trip to the furthest voter
     * and a synced write, so a lease under two seconds between regions calls for times of its own.
     */
    private static final double BALLOT_PART = 1.0 / 10;
    /** A few round trips wide, so that the first candidate has mostly won before the second begins. */
    private static final double JITTER_PART = 1.0 / 12;
    /** Two renewals may be lost before a lease lapses. */
    private static final double RENEWALS_PER_LEASE = 3;
    /** Five candidates part within it; a wider window only lets a vacant duty wait. */
    private static final double WIDEST_JITTER_PART = 1.0 / 4;

    /**
     * Of {@code catch_up_s}, by when a loss is made good. A vacancy ends within two leases (measured by the tests), so
     * within 0.6 of it; a loss is noticed and a newcomer settles meanwhile, on all control sidecars alike, and what is
     * left is for the keeper's next look (0.5 s) and the change of the set: 1.6 s of 4 s.
     */
    private static final double LEASE_PART_OF_CATCH_UP = 0.3;
    /**
     * Of {@code contact_ms} and {@code drain_ms}, by when a drain must be in force that the platform tells of just as
     * the holder ends: 0.8 of it for the vacancy, 0.6 s of 3 s to ask the platform (each 0.4 s) and to tell the list.
     */
    private static final double LEASE_PART_OF_CONTACT = 0.4;
    /** Below it a ballot would not cover a round trip with a synced write; shorter bounds can't be kept to. */
    private static final double SHORTEST_LEASE_MS = 600;

    /**
     * The lease that the operators' bounds leave room for; alike on all machines, as the bounds are.
     *
     * @param catchUpMs the time in which a loss is to be made good
     * @param contactMs the time after which a machine counts as in touch again
     * @param drainMs the time in which a drain is to be in force
     */
    public static double leaseMs(double catchUpMs, double contactMs, double drainMs) {
        return Math.max(
                SHORTEST_LEASE_MS,
                Math.min(LEASE_PART_OF_CATCH_UP * catchUpMs, LEASE_PART_OF_CONTACT * Math.min(contactMs, drainMs)));
    }

    /**
     * The times that go with a lease.
     *
     * @param leaseMs how long a vote binds its voter
     */
    public static LeaseTiming ofLease(double leaseMs) {
        return new LeaseTiming(leaseMs, leaseMs * MARGIN_PART, leaseMs * BALLOT_PART, leaseMs * JITTER_PART);
    }

    /** The time from one renewal to the next. */
    double renewalMs() {
        return leaseMs / RENEWALS_PER_LEASE;
    }

    /** How long a holder may count on votes, from the moment it asked for them. */
    double holdMs() {
        return leaseMs - marginMs;
    }

    /** The window for the delay before a ballot after so many that failed. */
    double windowMs(int failures) {
        return Math.min(Math.scalb(jitterMs, failures), leaseMs * WIDEST_JITTER_PART);
    }
}
