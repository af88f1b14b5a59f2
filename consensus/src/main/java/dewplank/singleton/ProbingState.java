package dewplank.singleton;

/** Has sent a probe, to learn whether a majority is free; binds no voter, like a pre-vote of Raft. */
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
