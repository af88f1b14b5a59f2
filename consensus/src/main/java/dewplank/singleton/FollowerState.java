package dewplank.singleton;

/** Waits for the next election: at the start, after an election that failed, after a lease, and after a step-down. */
final class FollowerState implements CandidateState {
    private final double eligibleAtMs;
    private double nextElectionAtMs;

    /** Waits for an election that a released lease may bring forward at any time. */
    FollowerState(double nextElectionAtMs) {
        this(nextElectionAtMs, Double.NEGATIVE_INFINITY);
    }

    /**
     * Waits for an election.
     *
     * @param nextElectionAtMs when the election begins
     * @param eligibleAtMs the time before which no released lease brings it forward
     */
    FollowerState(double nextElectionAtMs, double eligibleAtMs) {
        this.nextElectionAtMs = nextElectionAtMs;
        this.eligibleAtMs = eligibleAtMs;
    }

    /** Whether a released lease brings the election forward; not while the candidate has stepped down. */
    boolean isEligible(double nowMs) {
        return nowMs >= eligibleAtMs;
    }

    /** Brings the election forward; never puts it off. */
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
