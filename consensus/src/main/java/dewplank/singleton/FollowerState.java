package dewplank.singleton;

/** Waits for the next election: after the start, a failed election, the end of a lease, or a step-down. */
final class FollowerState implements CandidateState {
    private final double eligibleAtMs;
    private double nextElectionAtMs;

    /** Creates a state in which the release of a lease may bring the election forward at any time. */
    FollowerState(double nextElectionAtMs) {
        this(nextElectionAtMs, Double.NEGATIVE_INFINITY);
    }

    /**
     * Creates a state that waits for an election.
     *
     * @param nextElectionAtMs when the election begins
     * @param eligibleAtMs the time before which the release of a lease does not bring the election forward
     */
    FollowerState(double nextElectionAtMs, double eligibleAtMs) {
        this.nextElectionAtMs = nextElectionAtMs;
        this.eligibleAtMs = eligibleAtMs;
    }

    /** Whether the release of a lease may bring the election forward; false during the backoff after a step-down. */
    boolean isEligible(double nowMs) {
        return nowMs >= eligibleAtMs;
    }

    /** Brings the election forward to this time; never postpones it. */
    void electNoLaterThan(double electionAtMs) {
        nextElectionAtMs = Math.min(nextElectionAtMs, electionAtMs);
    }

    @Override
    public double nextTickAtMs() {
        return nextElectionAtMs;
    }

    @Override
    public boolean allowsTransitionTo(CandidateState next) {
        return next instanceof FollowerState || next instanceof ProbingState || next instanceof StoppedState;
    }
}
