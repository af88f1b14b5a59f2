package dewplank.singleton;

/**
 * The state of a {@link Candidate}. Each state is a class with the fields that only this state needs. Only the
 * candidate creates states, and one method of it checks and makes all transitions:
 *
 * <pre>
 * FollowerState --> ProbingState --> RequestingVotesState --> LeaseHolderState --> FollowerState
 *                 ProbingState, RequestingVotesState --> FollowerState
 *                                          any --> StoppedState
 * </pre>
 */
sealed interface CandidateState
        permits FollowerState, ProbingState, RequestingVotesState, LeaseHolderState, StoppedState {
    /** When the candidate's next tick is due in this state, by the candidate's clock; infinity if never. */
    double nextTickAtMs();

    /** Whether a transition from this state to the other is allowed. */
    boolean allowsTransitionTo(CandidateState next);
}
