package dewplank.duty;

/**
 * The times of a duty's ballots.
 *
 * @param leaseMs how long a vote binds its voter; the same at every voter and candidate
 * @param marginMs how much earlier than its voters a holder ends its lease: it covers clocks that run at different
 *        speeds, and the time between a look at {@link Candidate#holds} and the act that rests on it
 * @param ballotMs how long a candidate waits for votes
 * @param jitterMs the window from which the delay before a ballot is drawn; it doubles with each ballot that failed
 */
public record DutyTiming(double leaseMs, double marginMs, double ballotMs, double jitterMs) {
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
     * The times that go with a lease.
     *
     * @param leaseMs how long a vote binds its voter
     */
    public static DutyTiming ofLease(double leaseMs) {
        return new DutyTiming(leaseMs, leaseMs * MARGIN_PART, leaseMs * BALLOT_PART, leaseMs * JITTER_PART);
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
