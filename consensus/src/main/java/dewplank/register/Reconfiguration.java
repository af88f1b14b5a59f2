package dewplank.register;

/** Result of a confirmed reconfiguration, given by {@link Answer.OfReconfiguration}. */
public enum Reconfiguration {
    /** The target acceptors are in force, by the step from the expected generation. */
    APPLIED,

    /** The target acceptors are in force, and no step from the expected generation was needed or led there. */
    ALREADY_IN_FORCE,

    /** Another reconfiguration came first and the target acceptors are not in force: decide again on the set given. */
    SUPERSEDED
}
