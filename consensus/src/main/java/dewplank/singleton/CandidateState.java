package dewplank.singleton;

/**
 * What a {@link Candidate} is doing; one class for each state, with the fields that only this state has. The candidate
 * alone creates states and leaves them, through one checked transition:
 *
 * <pre>
 * FollowerState --> ProbingState --> RequestingVotesState --> LeaseHolderState --> FollowerState
 *                        any of the two elections --> FollowerState
 *                                             any --> StoppedState
 * </pre>
 */
sealed interface CandidateState
        permits FollowerState, ProbingState, RequestingVotesState, LeaseHolderState, StoppedState {
    /** When the state is to be acted on, by the candidate's clock; infinity where never. */
    double nextTickAtMs();

    /** Whether this state may be left for the other. */
    boolean allowsTransitionTo(CandidateState next);
}
