package dewplank.routing;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * This data plane's state of one incarnation of a server: its entry in the endpoint list, this data plane's load on it,
 * its health and its backoff. The data plane's view of the fleet owns it and updates it from endpoint lists, requests
 * report their start, the end of their prefill and their end, and {@link ServerPicker} reads it, all on the event loop.
 * No I/O; the caller passes the time with each call, in milliseconds of the loop's clock.
 */
public final class TrackedServer {
    private static final RoutingParameters.QueueDelay QUEUE_DELAY = RoutingParameters.DEFAULTS.queueDelay();

    /** The stage of a generation that a server processes. */
    public enum Stage {
        /** Not a model server: it serves plain requests. */
        PLAIN,
        /** The server prefills prompts. */
        PREFILL,
        /** The server decodes tokens. */
        DECODE,
        /** The server is changing its stage and accepts no new requests. */
        CHANGING
    }

    /** One of this data plane's requests in flight at the server; compared by identity. */
    public static final class InFlightRequest {
        private final double startedAtMs;
        private long tokensToPrefill;

        private InFlightRequest(double startedAtMs, long tokensToPrefill) {
            this.startedAtMs = startedAtMs;
            this.tokensToPrefill = tokensToPrefill;
        }
    }

    private final String instanceId;
    private final String service;
    private final String zone;
    private final OutcomeWindow outcomes = new OutcomeWindow();
    private Stage stage;
    private boolean ready = true;

    private boolean ejected;
    private double ejectionDecidedAtMs = Double.NEGATIVE_INFINITY;
    private double lastTrialAtMs = Double.NEGATIVE_INFINITY;

    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private double lastBackoffMs;

    private final Set<InFlightRequest> inFlight = new LinkedHashSet<>();
    private final Set<InFlightRequest> prefilled = new HashSet<>();
    private long tokensInFlight;

    private double queueDelayMs;
    private double queueDelayAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates the state of a server that is ready according to the endpoint list.
     *
     * @param instanceId the id of this incarnation
     * @param service the name of its service
     * @param zone the name of its zone
     * @param stage the stage in the endpoint list
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

    /** The stage in the newest endpoint list. */
    public Stage stage() {
        return stage;
    }

    /** The outcomes of recent requests at this server. */
    public OutcomeWindow outcomes() {
        return outcomes;
    }

    /** Whether the server is ready according to the newest endpoint list; only ready servers get requests. */
    public boolean isReady() {
        return ready;
    }

    /** Updates the server from a newer endpoint list. */
    public void updateListing(boolean newReady, Stage newStage) {
        ready = newReady;
        stage = newStage;
    }

    // ---- load -----------------------------------------------------------------------------------------

    /** The number of this data plane's requests in flight at the server. */
    public int inFlight() {
        return inFlight.size();
    }

    /** The number of tokens of prompts in flight that have not been prefilled. */
    public long tokensInFlight() {
        return tokensInFlight;
    }

    /**
     * Records that a request is sent to the server.
     *
     * @param tokens the number of tokens of its prompt that the server has to prefill
     */
    public InFlightRequest requestStarted(double nowMs, long tokens) {
        InFlightRequest request = new InFlightRequest(nowMs, tokens);
        inFlight.add(request);
        tokensInFlight += tokens;
        return request;
    }

    /** Records that the prompt of a request in flight has been prefilled. */
    public void promptPrefilled(InFlightRequest request) {
        tokensInFlight -= request.tokensToPrefill;
        request.tokensToPrefill = 0;
        inFlight.remove(request);
        inFlight.add(request); // moved behind waiting requests, as its age does not indicate a stalled server
        prefilled.add(request);
        prefilled.retainAll(inFlight);
    }

    /** Records that a request in flight has ended in any way; a second call for the same request has no effect. */
    public void requestEnded(InFlightRequest request) {
        if (inFlight.remove(request)) {
            tokensInFlight -= request.tokensToPrefill;
        }
    }

    /** How long the oldest request that has not been prefilled has been in flight; 0 if there is none. */
    public double oldestPrefillWaitMs(double nowMs) {
        for (InFlightRequest request : inFlight) {
            if (!prefilled.contains(request)) {
                return nowMs - request.startedAtMs;
            }
        }
        return 0;
    }

    /**
     * Records the queue delay of a prompt that the server has prefilled.
     *
     * @param delayMs the time that the prompt waited before its own prefill: the time until its prefill was complete,
     *     minus the expected duration of the prefill; negative values count as 0
     */
    public void recordQueueDelay(double nowMs, double delayMs) {
        queueDelayMs = estimatedQueueDelayMs(nowMs)
                + (Math.max(0, delayMs) - estimatedQueueDelayMs(nowMs)) * QUEUE_DELAY.sampleWeight();
        queueDelayAtMs = nowMs;
    }

    /** The expected queue delay of a prompt at this server, from the delays of recent prompts. */
    public double estimatedQueueDelayMs(double nowMs) {
        return queueDelayMs * StrictMath.exp((queueDelayAtMs - nowMs) / QUEUE_DELAY.decayMs());
    }

    // ---- backoff --------------------------------------------------------------------------------------

    /**
     * Starts a backoff after the server rejected a request or a connection. Each consecutive backoff is twice as long
     * as the previous one.
     *
     * @param firstMs the duration of the first backoff
     * @param maxMs the maximum duration
     */
    public void backOff(double nowMs, double firstMs, double maxMs) {
        lastBackoffMs = lastBackoffMs == 0 ? firstMs : Math.min(maxMs, 2 * lastBackoffMs);
        backoffUntilMs = nowMs + lastBackoffMs;
    }

    /** Resets the backoff after the server served a request: the next one has the initial duration again. */
    public void resetBackoff() {
        lastBackoffMs = 0;
    }

    boolean isBackingOff(double nowMs) {
        return nowMs < backoffUntilMs;
    }

    // ---- ejection -------------------------------------------------------------------------------------

    boolean isEjected() {
        return ejected;
    }

    void recordEjectionDecision(double nowMs, boolean newEjected) {
        ejected = newEjected;
        ejectionDecidedAtMs = nowMs;
    }

    double ejectionDecidedAtMs() {
        return ejectionDecidedAtMs;
    }

    double lastTrialAtMs() {
        return lastTrialAtMs;
    }

    void recordTrial(double atMs) {
        lastTrialAtMs = atMs;
    }
}
