package dewplank.register;

/**
 * What a {@link Task} proposes on top of the value read.
 *
 * @param value the value for the accept phase
 * @param answer the answer once it is chosen; may be null
 * @param changed whether the value differs from the one read
 */
record Proposal(RegisterValue value, Object answer, boolean changed) {
    static Proposal unchanged(RegisterValue read) {
        return new Proposal(read, null, false);
    }

    static Proposal changed(RegisterValue next) {
        return new Proposal(next, null, true);
    }
}
