package dewplank.singleton;

/** The candidate is shut down: it starts no election and never leaves this state. */
final class StoppedState implements CandidateState {
    @Override
    public double nextTickAtMs() {
        return Double.POSITIVE_INFINITY;
    }

    @Override
    public boolean allowsTransitionTo(CandidateState next) {
        return next instanceof StoppedState;
    }
}
