package dewplank.register;

/** Something that wants rounds of the proposer until it is done. */
interface Task {
    /**
     * What to do with the value read.
     *
     * @param read the newest value a quorum holds
     * @param chosen the newest value known to be chosen, or null
     */
    Proposal propose(RegisterValue read, RegisterValue chosen);

    /** Whether it is done once this proposal is chosen. */
    boolean isDoneWith(Proposal proposal);

    /** Whether it repairs the set of acceptors or what others left, and so goes before what callers ordered. */
    default boolean isRepair() {
        return false;
    }

    /** When it is given up. */
    double deadline();

    /** Tells whoever asked, if anyone. */
    void complete(Outcome outcome, Register.Effects out);
}
