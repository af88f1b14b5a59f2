package dewplank.singleton;

/** Shut down for good: takes part in no election, and is never left. */
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
