package dewplank.register;

/**
 * What a task makes of the value read.
 *
 * @param value the value for the second round
 * @param answer what to answer once it is chosen
 * @param changed whether the value differs from the one read
 */
record Proposal(RegisterValue value, Object answer, boolean changed) {
    static Proposal keep(RegisterValue read) {
        return new Proposal(read, null, false);
    }

    static Proposal of(RegisterValue next) {
        return new Proposal(next, null, true);
    }
}
