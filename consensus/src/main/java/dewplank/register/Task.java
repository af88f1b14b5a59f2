package dewplank.register;

/**
 * Work that the {@link Proposer} carries through one or more ballots until it is complete or its deadline passes.
 *
 * @param <A> the result of the callers' changes
 */
interface Task<A> {
    /**
     * Decides what to propose on top of the value read; called once per ballot, so it must have no effects.
     *
     * @param read the newest value that a quorum has accepted
     * @param newestChosen the newest value known to be chosen, or null
     */
    Proposal<A> propose(RegisterValue read, RegisterValue newestChosen);

    /** Whether the task is complete once this proposal is chosen. */
    boolean isCompletedBy(Proposal<A> proposal);

    /** Whether it repairs the acceptor set or an abandoned ballot, and so runs before callers' requests. */
    default boolean isRepair() {
        return false;
    }

    /** When it is abandoned, in milliseconds of the register's clock. */
    double deadlineMs();

    /** Passes the outcome to the caller, if there is one. */
    void complete(Outcome<A> outcome, Register.Effects<A> effects);
}
