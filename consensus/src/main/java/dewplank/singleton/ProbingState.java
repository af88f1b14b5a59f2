package dewplank.singleton;

/**
 * The candidate has sent a probe to check whether a majority of the voters is free to vote. Like the pre-vote of Raft,
 * a probe binds no voter.
 */
final class ProbingState implements CandidateState {
    private final VoteRound round;
    private final double timeoutAtMs;

    /**
     * Creates a state that waits for the replies to a probe.
     *
     * @param round the probe
     * @param timeoutAtMs when the probe times out
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
