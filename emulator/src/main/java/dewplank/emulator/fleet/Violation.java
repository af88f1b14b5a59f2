package dewplank.emulator.fleet;

/** A rule that a history breaks, and where. The rules have the names of the bench. */
public record Violation(Rule rule, String detail) {
    /** The rules that histories are checked for. */
    public enum Rule {
        /** An attempt that may run at most once ran again. */
        TWICE,
        /** An attempt whose response promises that it did not run has run. */
        REFUSED,
        /** A success without the server's seal, or with another body than the server's. */
        MIXED,
        /** A request arrived at a server that no client sent, or that was changed. */
        UNASKED,
        /** A stream with an event missing or repeated, with two heads, or that ended too early. */
        ORDER,
        /** A handle was fetched twice, or for another request. */
        HANDLE,
        /** A connection ended without the response to a request that had been read. */
        LOST,
        /** A request ran at a service that no configuration allowed. */
        ROUTE,
        /** A request arrived at a draining server too late. */
        DRAIN,
        /** An acknowledged configuration was lost, two on one base were acknowledged, or an invalid one was. */
        CONFIG,
        /** A request was handled by a configuration that had been replaced long before. */
        STALE,
        /** Two processes called the platform at the same time. */
        ONE
    }

    @Override
    public String toString() {
        return rule + ": " + detail;
    }
}
