package dewplank.register;

/** Result of a confirmed reconfiguration, contained in {@link RequestResult.OfReconfiguration}. */
public enum Reconfiguration {
    /** The target acceptors are in effect, as the result of a transition from the expected generation. */
    APPLIED,

    /** The target acceptors are in effect, but not as the result of a transition from the expected generation. */
    ALREADY_IN_FORCE,

    /**
     * Another reconfiguration took effect first and the target acceptors are not in effect. The caller has to decide
     * again, based on the acceptor set of the confirmed value.
     */
    SUPERSEDED
}
