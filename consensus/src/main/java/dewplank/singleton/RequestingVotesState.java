package dewplank.singleton;

/** The candidate has requested votes under a new fencing token. Granted votes bind their voters until withdrawn. */
final class RequestingVotesState implements CandidateState {
    private final VoteRound round;
    private final double timeoutAtMs;

    /**
     * Creates a state that waits for votes.
     *
     * @param round the request for votes
     * @param timeoutAtMs when the election times out; votes that arrive later don't count (invariant 9)
     */
    RequestingVotesState(VoteRound round, double timeoutAtMs) {
        this.round = round;
        this.timeoutAtMs = timeoutAtMs;
    }

    VoteRound round() {
        return round;
    }

    boolean isTimedOut(double nowMs) {
        return nowMs >= timeoutAtMs;
    }

    @Override
    public double nextTickAtMs() {
        return timeoutAtMs;
    }

    @Override
    public boolean allowsTransitionTo(CandidateState next) {
        return next instanceof LeaseHolderState || next instanceof FollowerState || next instanceof StoppedState;
    }
}
