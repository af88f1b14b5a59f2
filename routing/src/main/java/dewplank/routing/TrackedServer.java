package dewplank.routing;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One incarnation of a server as this data plane tracks it: what the endpoint list says, this data plane's own load
 * there, its health and its backoff. Owned by the data plane's view of the fleet, which feeds it endpoint lists; calls
 * report their start, prefill and end; {@link ServerPicker} reads it. All on the event loop. No I/O; time is given with
 * each call, in milliseconds of the loop's clock.
 */
public final class TrackedServer {
    private static final RoutingParameters.QueueDelay QUEUE_DELAY = RoutingParameters.DEFAULTS.queueDelay();

    /** The part of a generation that a server takes. */
    public enum Stage {
        /** A server that generates nothing: it takes plain requests. */
        PLAIN,
        /** It prefills prompts. */
        PREFILL,
        /** It decodes tokens. */
        DECODE,
        /** Between two stages: it takes nothing new. */
        CHANGING
    }

    /** One of this data plane's requests in flight at the server; identity counts. */
    public static final class InFlightRequest {
        private final double startedAtMs;
        private long unreadTokens;

        private InFlightRequest(double startedAtMs, long unreadTokens) {
            this.startedAtMs = startedAtMs;
            this.unreadTokens = unreadTokens;
        }
    }

    private final String instanceId;
    private final String service;
    private final String zone;
    private final OutcomeWindow outcomes = new OutcomeWindow();
    private Stage stage;
    private boolean ready = true;

    private boolean ejected;
    private double verdictAtMs = Double.NEGATIVE_INFINITY;
    private double lastTrialAtMs = Double.NEGATIVE_INFINITY;

    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private double lastBackoffMs;

    private final Set<InFlightRequest> inFlight = new LinkedHashSet<>();
    private final Set<InFlightRequest> prefilled = new HashSet<>();
    private long tokensInFlight;

    private double queueDelayMs;
    private double queueDelayAtMs = Double.NEGATIVE_INFINITY;

    /**
     * A server that the endpoint list names as ready.
     *
     * @param instanceId the id of this incarnation
     * @param service the name of its service
     * @param zone the name of its zone
     * @param stage the stage that the list states
     */
    public TrackedServer(String instanceId, String service, String zone, Stage stage) {
        this.instanceId = instanceId;
        this.service = service;
        this.zone = zone;
        this.stage = stage;
    }

    /** The id of this incarnation. */
    public String instanceId() {
        return instanceId;
    }

    /** The name of its service. */
    public String service() {
        return service;
    }

    /** The name of its zone. */
    public String zone() {
        return zone;
    }

    /** The stage that the newest endpoint list states. */
    public Stage stage() {
        return stage;
    }

    /** What requests met there lately. */
    public OutcomeWindow outcomes() {
        return outcomes;
    }

    /** Whether the newest endpoint list names it as ready; requests go to no other. */
    public boolean isReady() {
        return ready;
    }

    /** Takes over what a newer endpoint list says of it. */
    public void updateListing(boolean nowReady, Stage nowStage) {
        ready = nowReady;
        stage = nowStage;
    }

    // ---- load -----------------------------------------------------------------------------------------

    /** This data plane's requests in flight there. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Tokens of the prompts in flight there that have not been read. */
    public long tokensInFlight() {
        return tokensInFlight;
    }

    /**
     * A request is sent there.
     *
     * @param tokens of its prompt that the server has to read
     */
    public InFlightRequest requestStarted(double nowMs, long tokens) {
        InFlightRequest request = new InFlightRequest(nowMs, tokens);
        inFlight.add(request);
        tokensInFlight += tokens;
        return request;
    }

    /** The prompt of a request in flight has been read. */
    public void promptPrefilled(InFlightRequest request) {
        tokensInFlight -= request.unreadTokens;
        request.unreadTokens = 0;
        inFlight.remove(request);
        inFlight.add(request); // behind those that wait, as what has been read is no sign of a stalled server
        prefilled.add(request);
        prefilled.retainAll(inFlight);
    }

    /** A request in flight has ended, however; the second call for one changes nothing. */
    public void requestEnded(InFlightRequest request) {
        if (inFlight.remove(request)) {
            tokensInFlight -= request.unreadTokens;
        }
    }

    /** How long the oldest request whose prompt has not been read is in flight; 0 where there is none. */
    public double oldestPrefillWaitMs(double nowMs) {
        for (InFlightRequest request : inFlight) {
            if (!prefilled.contains(request)) {
                return nowMs - request.startedAtMs;
            }
        }
        return 0;
    }

    /**
     * A prompt was read there.
     *
     * @param delayMs beyond what its tokens need: others were before it; below 0 counts as 0
     */
    public void recordQueueDelay(double nowMs, double delayMs) {
        queueDelayMs = estimatedQueueDelayMs(nowMs)
                + (Math.max(0, delayMs) - estimatedQueueDelayMs(nowMs)) * QUEUE_DELAY.sampleWeight();
        queueDelayAtMs = nowMs;
    }

    /** The delay that a prompt is likely to meet there, by what others met lately. */
    public double estimatedQueueDelayMs(double nowMs) {
        return queueDelayMs * Math.exp((queueDelayAtMs - nowMs) / QUEUE_DELAY.decayMs());
    }

    // ---- backoff --------------------------------------------------------------------------------------

    /**
     * The server rejected a request or let no connection in: it is left alone for a while, twice as long each time in a
     * row.
     *
     * @param firstMs the first backoff in a row
     * @param maxMs the longest
     */
    public void backOff(double nowMs, double firstMs, double maxMs) {
        lastBackoffMs = lastBackoffMs == 0 ? firstMs : Math.min(maxMs, 2 * lastBackoffMs);
        backoffUntilMs = nowMs + lastBackoffMs;
    }

    /** The server served a request: the next backoff is a first one again. */
    public void resetBackoff() {
        lastBackoffMs = 0;
    }

    boolean isBackingOff(double nowMs) {
        return nowMs < backoffUntilMs;
    }

    // ---- verdict --------------------------------------------------------------------------------------

    boolean isEjected() {
        return ejected;
    }

    void recordVerdict(double nowMs, boolean nowEjected) {
        ejected = nowEjected;
        verdictAtMs = nowMs;
    }

    double verdictAtMs() {
        return verdictAtMs;
    }

    double lastTrialAtMs() {
        return lastTrialAtMs;
    }

    void recordTrial(double atMs) {
        lastTrialAtMs = atMs;
    }
}
