package dewplank.register;

/** What a confirmed request to replace the acceptors came to: the answer of its {@link Outcome.Confirmed}. */
public enum Reconfiguration {
    /** The wanted acceptors are in force, by the step from the expected generation. */
    APPLIED,

    /** The wanted acceptors are in force, and no step from the expected generation was needed or led there. */
    FOUND_DONE,

    /** Another replacement came first, and the wanted acceptors are not in force: decide again on the set given. */
    OVERTAKEN
}
