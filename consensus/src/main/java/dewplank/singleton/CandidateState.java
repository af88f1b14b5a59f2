package dewplank.singleton;

/**
 * What a {@link Candidate} is doing; one class for each state, with the fields that only this state has. The candidate
 * alone creates states, and goes from one to the next through one checked transition:
 *
 * <pre>
 * FollowerState --> ProbingState --> RequestingVotesState --> LeaseHolderState --> FollowerState
 *                 ProbingState, RequestingVotesState --> FollowerState
 *                                          any --> StoppedState
 * </pre>
 */
sealed interface CandidateState
        permits FollowerState, ProbingState, RequestingVotesState, LeaseHolderState, StoppedState {
    /** When the state is to be acted on, by the candidate's clock; infinity where never. */
    double nextTickAtMs();

    /** Whether this state may be left for the other. */
    boolean allowsTransitionTo(CandidateState next);
}
