package dewplank.singleton;

/** Has requested votes under a new fencing token; those granted bind their voters until they are withdrawn. */
final class RequestingVotesState implements CandidateState {
    private final VoteRound round;
    private final double timeoutAtMs;

    /**
     * Waits for votes.
     *
     * @param round the request
     * @param timeoutAtMs when the election has failed; a vote that comes then counts no more (invariant 9)
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
