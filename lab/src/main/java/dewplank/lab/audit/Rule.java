package dewplank.lab.audit;

/** A rule that a run may break, as the {@link Auditor} checks it. */
public enum Rule {
    /** A client got a second complete answer. */
    ANSWERED_TWICE,
    /** A client got no answer before it stopped waiting, and never one after. */
    NOT_ANSWERED,
    /** A client's answer came after the deadline and its slack. */
    ANSWERED_AFTER_DEADLINE("ANSWERED_LATE"),
    /** A client's connection ended without an answer though its sidecar ran all the time. */
    LOST,
    /** A client got the answer to another request, or to one that no server received. */
    WRONG_ANSWER,
    /** An unsafe request was sent again though it may have run. */
    SENT_TWICE,
    /** A request that is not safe took effect twice. */
    EFFECT_TWICE,
    /** A client was refused, which says that its request never ran, though it may have run. */
    REFUSED_AFTER_RUN,
    /** A keyed request was sent again after its deduplication window. */
    KEYED_AFTER_WINDOW("KEYED_TOO_LATE"),
    /** A keyed request was sent again to a server that does not share the first one's keys. */
    KEYED_OUTSIDE_SCOPE("KEYED_ELSEWHERE"),
    /** A request was sent to a server after its sidecar was notified that it drains or is removed. */
    SENT_TO_DRAINED,
    /** A cold server collapsed under work that came from sidecars notified of its start. */
    COLD_SERVER_OVERLOADED("COLD_PUSHED_OVER");

    private final String printedName;

    Rule() {
        this.printedName = name();
    }

    Rule(String printedName) {
        this.printedName = printedName;
    }

    /** The name in commands' output. Scripts read it, so it stays when the constant is renamed. */
    public String printedName() {
        return printedName;
    }
}
