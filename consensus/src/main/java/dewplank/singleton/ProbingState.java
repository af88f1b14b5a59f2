package dewplank.singleton;

/** Has asked the voters whether a majority of them is free, as Raft's pre-vote does; this binds no voter. */
final class ProbingState implements CandidateState {
    private final VoteRound round;
    private final double timeoutAtMs;

    /**
     * Waits for the replies to a probe.
     *
     * @param round the probe
     * @param timeoutAtMs when the probe has failed
     */
    ProbingState(VoteRound round, double timeoutAtMs) {
        this.round = round;
        this.timeoutAtMs = timeoutAtMs;
    }

    VoteRound round() {
        return round;
    }

    @Override
    public double nextTickAtMs() {
        return timeoutAtMs;
    }

    @Override
    public boolean allowsTransitionTo(CandidateState next) {
        return next instanceof RequestingVotesState || next instanceof FollowerState || next instanceof StoppedState;
    }
}
