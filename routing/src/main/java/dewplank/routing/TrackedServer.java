package dewplank.routing;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** One incarnation of a server as this sidecar sees it: what the list says, its own load there, and its health. */
public final class TrackedServer {
    private static final RoutingParameters.QueueDelay QUEUE_DELAY = RoutingParameters.DEFAULTS.queueDelay();

    /** The part of a generation that a server takes. */
    public enum Stage {
        PLAIN,
        PREFILL,
        DECODE,
        /** Between two others: it takes nothing new. */
        CHANGING
    }

    private final String instanceId;
    private final String service;
    private final String zone;
    private final OutcomeWindow outcomes = new OutcomeWindow();
    private Stage stage;
    private boolean isReady = true;
    private boolean isEjected;
    private double verdictAtMs = Double.NEGATIVE_INFINITY;
    private double lastTrialAtMs = Double.NEGATIVE_INFINITY;
    private double restUntil = Double.NEGATIVE_INFINITY;
    private double restMs;
    private final Set<InFlightRequest> flights = new LinkedHashSet<>();
    private final Set<InFlightRequest> answeredFlights = new HashSet<>();
    private double estimatedQueueDelayMs;
    private double queuedAt = Double.NEGATIVE_INFINITY;
    private long tokensInFlight;

    public TrackedServer(String instanceId, String service, String zone, Stage stage) {
        this.instanceId = instanceId;
        this.service = service;
        this.zone = zone;
        this.stage = stage;
    }

    public String instanceId() {
        return instanceId;
    }

    public String service() {
        return service;
    }

    public String zone() {
        return zone;
    }

    public Stage stage() {
        return stage;
    }

    public OutcomeWindow outcomes() {
        return outcomes;
    }

    /** Whether the list names it as ready; requests go to no other. */
    public boolean isReady() {
        return isReady;
    }

    /** What a newer list says of it. */
    public void updateListing(boolean nowReady, Stage nowStage) {
        isReady = nowReady;
        stage = nowStage;
    }

    /** This sidecar's requests in flight there. */
    public int inFlight() {
        return flights.size();
    }

    /** Tokens of the prompts that this sidecar has in flight there. */
    public long tokensInFlight() {
        return tokensInFlight;
    }

    /** One of this sidecar's requests in flight there. */
    public static final class InFlightRequest {
        private final double since;
        private long tokens;

        private InFlightRequest(double since, long tokens) {
            this.since = since;
            this.tokens = tokens;
        }
    }

    /** A request is sent whose prompt has so many tokens to be read. */
    public InFlightRequest requestStarted(double now, long tokens) {
        InFlightRequest flight = new InFlightRequest(now, tokens);
        flights.add(flight);
        tokensInFlight += tokens;
        return flight;
    }

    /** Its prompt has been read. */
    public void promptPrefilled(InFlightRequest flight) {
        tokensInFlight -= flight.tokens;
        flight.tokens = 0;
        reading(flight);
    }

    public void requestEnded(InFlightRequest flight) {
        if (flights.remove(flight)) {
            tokensInFlight -= flight.tokens;
        }
    }

    private void reading(InFlightRequest flight) {
        flights.remove(flight);
        flights.add(flight); // what has been read is no sign of a server that is stuck
        answeredFlights.add(flight);
        answeredFlights.retainAll(flights);
    }

    /** How long the oldest request there has waited for its prompt to be read. */
    public double oldestPrefillWaitMs(double now) {
        for (InFlightRequest f : flights) {
            if (!answeredFlights.contains(f)) {
                return now - f.since;
            }
        }
        return 0;
    }

    /** A prompt took so much longer than its tokens need: others were before it. */
    public void recordQueueDelay(double now, double delayMs) {
        estimatedQueueDelayMs = estimatedQueueDelayMs(now)
                + (Math.max(0, delayMs) - estimatedQueueDelayMs(now)) * QUEUE_DELAY.sampleWeight();
        queuedAt = now;
    }

    /** The wait that a prompt will likely meet there, from what others met lately. */
    public double estimatedQueueDelayMs(double now) {
        return estimatedQueueDelayMs * Math.exp((queuedAt - now) / QUEUE_DELAY.decayMs());
    }

    /** It turned a request away, or let no connection in: it is left alone for a while, longer each time in a row. */
    public void backOff(double now, double firstMs, double mostMs) {
        restMs = restMs == 0 ? firstMs : Math.min(mostMs, 2 * restMs);
        restUntil = now + restMs;
    }

    /** It served a request: the next rest is a short one again. */
    public void resetBackoff() {
        restMs = 0;
    }

    boolean isBackingOff(double now) {
        return now < restUntil;
    }

    boolean isEjected() {
        return isEjected;
    }

    void recordVerdict(double now, boolean verdict) {
        isEjected = verdict;
        verdictAtMs = now;
    }

    double verdictAtMs() {
        return verdictAtMs;
    }

    double lastTrialAtMs() {
        return lastTrialAtMs;
    }

    void recordTrial(double now) {
        lastTrialAtMs = now;
    }
}
