package dewplank.emulator.fleet;

/** A violation of a rule in a history. The rules have the names that the bench uses. */
public record Violation(Rule rule, String detail) {
    /** The rules that histories are checked for. */
    public enum Rule {
        /** A server ran an attempt more than once although it may run at most once. */
        TWICE,
        /** A server ran an attempt whose response states that it was not executed. */
        REFUSED,
        /** A successful response has no server seal, or its body differs from the body that the server sent. */
        MIXED,
        /** A server received a request that no client sent, or that was modified. */
        UNASKED,
        /** A stream has missing or repeated events or two heads, or ended too early. */
        ORDER,
        /** A KV handle was fetched twice, or for another request. */
        HANDLE,
        /** A connection ended without a response to a request that the data plane had read. */
        LOST,
        /** A request ran at a service that no configuration allows for it. */
        ROUTE,
        /** A request reached a server too long after the server was listed as draining. */
        DRAIN,
        /** An acknowledged configuration was lost, or an invalid one or two with the same base were acknowledged. */
        CONFIG,
        /** A request was handled according to a configuration that had been replaced long before. */
        STALE,
        /** Two processes called the platform at the same time. */
        ONE
    }

    @Override
    public String toString() {
        return rule + ": " + detail;
    }
}
