package dewplank.register;

/**
 * A unit of work that the {@link Proposer} runs in one or more ballots until it is complete or its deadline passes.
 *
 * @param <A> the result of the callers' changes
 */
interface Task<A> {
    /**
     * Derives a proposal from the value read. Called once per ballot, so it must have no side effects.
     *
     * @param read the newest value that a quorum has accepted
     * @param newestChosen the newest value known to be chosen, or null
     */
    Proposal<A> propose(RegisterValue read, RegisterValue newestChosen);

    /** Whether the task is complete once this proposal is chosen. */
    boolean isCompletedBy(Proposal<A> proposal);

    /**
     * Whether the task repairs the acceptor set or an abandoned ballot, and therefore runs before callers' requests.
     */
    default boolean isRepair() {
        return false;
    }

    /** The time at which the task is abandoned, in milliseconds of the register's clock. */
    double deadlineMs();

    /** Passes the outcome to the caller, if any. */
    void complete(Outcome<A> outcome, Register.Effects<A> effects);
}
