package dewplank.lab.audit;

/** A violation that the {@link Auditor} detects. */
public enum Rule {
    /** A client received a second complete response. */
    ANSWERED_TWICE,
    /** A client received no response by its deadline, or the end of its request was never recorded. */
    NOT_ANSWERED,
    /** A client received its response after the deadline plus the slack. */
    ANSWERED_AFTER_DEADLINE("ANSWERED_LATE"),
    /** A client's connection closed without a response although its sidecar ran the whole time. */
    LOST,
    /** A client received the response to another request, or to a request that no server received. */
    WRONG_ANSWER,
    /** An unsafe request was sent again although it may have run. */
    SENT_TWICE,
    /** A request that is not safe took effect twice. */
    EFFECT_TWICE,
    /** A client received a rejection, which states that its request never ran, although it may have run. */
    REFUSED_AFTER_RUN,
    /** A keyed request was sent again after its deduplication window. */
    KEYED_AFTER_WINDOW("KEYED_TOO_LATE"),
    /** A keyed request was sent again to a server outside the deduplication scope of the first one. */
    KEYED_OUTSIDE_SCOPE("KEYED_ELSEWHERE"),
    /** A request was sent to a server after the sidecar was notified that the server is draining or removed. */
    SENT_TO_DRAINED,
    /** A cold server collapsed under work from sidecars that had been notified of its start. */
    COLD_SERVER_OVERLOADED("COLD_PUSHED_OVER");

    private final String printedName;

    Rule() {
        this.printedName = name();
    }

    Rule(String printedName) {
        this.printedName = printedName;
    }

    /** The name in the output of commands. Scripts parse it, so it must not change with the constant's name. */
    public String printedName() {
        return printedName;
    }
}
