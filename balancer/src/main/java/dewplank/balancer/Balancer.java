package dewplank.balancer;

import java.util.List;
import java.util.function.Consumer;

/**
 * What a host tells one balancer and what it is told to do. All times are in milliseconds on the host's own
 * clock, which never goes back. A balancer is single-threaded, reads no clock and does no I/O.
 */
public interface Balancer {

    /** Takes one event at a time {@code now}; the actions it calls for are emitted in order, at that moment. */
    void handle(double now, Event event, Consumer<Action> out);

    // ---- settings -------------------------------------------------------------------------------------

    enum Effect { SAFE, KEYED, UNSAFE }

    /** The servers that drop one another's repeats of a keyed request. */
    enum Scope { ALL, ZONE, CELL }

    /** {@code memoryMs}: how long a keyed repeat is dropped; {@code aimPerWork}: aim added per unit of work. */
    record RequestClass(String name, Effect effect, Scope scope, double memoryMs, double aimMs, double aimPerWork,
                        double deadlineMs, double worth, double lateWorth, boolean stream) { }

    record Tenant(String name, double share, double allowancePerS) { }

    record Limits(int maxAttempts, boolean secondCopies, boolean mayCancel, boolean mayProbe, boolean peers,
                  boolean retryAdvice, double maxRetryAdviceMs, double connectTimeoutMs, double idleCloseMs,
                  int streamsPerConnection) { }

    /**
     * {@code onlyDrainingBinds}: a server listed as gone, but never as draining, may still be used.
     * {@code fullMayHaveRun}: a server may turn away work that it had begun.
     */
    record Safety(double askWithinMs, double coldMs, double coldShare, double fallMultiple, double tipAfterMs,
                  boolean onlyDrainingBinds, boolean fullMayHaveRun) { }

    /** Points off the result, each for one event per first try. */
    record Prices(double crossZone, double handshake) { }

    /**
     * How the result is weighed: all traffic (with its worst spell), the class served worst, and the tail: the
     * worth served while no more than {@code missAllowed} of a class's requests miss their aim.
     */
    record Goal(double all, double worstClass, double tail, double missAllowed) { }

    /** {@code reportsByProbe}: load reports come with probes only. */
    record Settings(int me, int replicas, String zone, double tickMs, boolean listPushed, boolean worthByWork,
                    boolean ratedServers, boolean warmKeys, double overShareWorth, List<String> reportFields,
                    boolean reportsByProbe, List<RequestClass> classes, List<Tenant> tenants,
                    Limits limits, Safety safety, Prices prices, Goal goal) { }

    // ---- events ---------------------------------------------------------------------------------------

    enum Availability { UP, DRAINING, REMOVED }

    /** {@code startedAt}: null where the server has run for long. */
    record Entry(String server, String zone, String kind, long cell, Availability availability, double rating,
                 Double startedAt) { }

    enum ListForm { CHANGES, WHOLE, STALE, BROKEN }

    enum Outcome { SERVED, ERROR, FULL, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, NEVER_SENT }

    sealed interface Event { }

    record ListNews(ListForm form, List<Entry> entries) implements Event { }

    /** {@code cost}: expected work in milliseconds of a standard core, or null; {@code budgetMs}: time left. */
    record Arrived(long request, String tenant, String key, boolean repeat, String requestClass, double budgetMs,
                   Double cost) implements Event { }

    record StreamBegan(long request, int attempt, double tookMs) implements Event { }

    /** {@code over}: the request has ended, by this outcome or earlier; {@code report}: null, or as the fields. */
    record Ended(long request, int attempt, String server, Outcome outcome, double tookMs, boolean over,
                 double[] report) implements Event { }

    /** The client has left, or its time ran out. */
    record Abandoned(long request) implements Event { }

    record TimerFired(long timer) implements Event { }

    record Probed(String server, boolean served, double tookMs, double[] report) implements Event { }

    record PeerSaid(int peer, byte[] bytes) implements Event { }

    // ---- actions --------------------------------------------------------------------------------------

    sealed interface Action { }

    /**
     * {@code timeoutMs} 0: until the client gives up. A request's attempts count from 0 in order of sending.
     * {@code writeWithinMs}: what is not written whole by then is not sent at all and ends as {@code CONNECT_FAILED}:
     * the right to send again may end while a connection comes up. Infinite where nothing ends it.
     */
    record Send(long request, String server, double timeoutMs, double writeWithinMs) implements Action {
        public Send(long request, String server, double timeoutMs) {
            this(request, server, timeoutMs, Double.POSITIVE_INFINITY);
        }
    }

    record Cancel(long request, int attempt) implements Action { }

    record Refuse(long request, double retryInMs) implements Action { }

    record Fail(long request) implements Action { }

    record SetTimer(long timer, double afterMs) implements Action { }

    record Subscribe() implements Action { }

    record Probe(String server) implements Action { }

    /** Closes this instance's idle connections to the server. */
    record CloseIdle(String server) implements Action { }

    /** To every peer, 256 bytes at the most. */
    record TellPeers(byte[] bytes) implements Action { }
}
