package dewplank.routing;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** One incarnation of a server as this sidecar sees it: what the list says, its own load there, and its health. */
public final class TrackedServer {
    private static final double QUEUE_STEP = 0.5; // a sample counts half: queues change within a few of them
    private static final double QUEUE_TAU_MS = 400; // and is forgotten at this time scale

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
    private boolean ready = true;
    private boolean condemned;
    private double condemnedCheckedAt = Double.NEGATIVE_INFINITY;
    private double lastTrialAt = Double.NEGATIVE_INFINITY;
    private double restUntil = Double.NEGATIVE_INFINITY;
    private double restMs;
    private final Set<Flight> flights = new LinkedHashSet<>();
    private final Set<Flight> answeredFlights = new HashSet<>();
    private double queueMs;
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
    public boolean ready() {
        return ready;
    }

    /** What a newer list says of it. */
    public void listed(boolean nowReady, Stage nowStage) {
        ready = nowReady;
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
    public static final class Flight {
        private final double since;
        private long tokens;

        private Flight(double since, long tokens) {
            this.since = since;
            this.tokens = tokens;
        }
    }

    /** A request is sent whose prompt has so many tokens to be read. */
    public Flight began(double now, long tokens) {
        Flight flight = new Flight(now, tokens);
        flights.add(flight);
        tokensInFlight += tokens;
        return flight;
    }

    /** Its prompt has been read. */
    public void read(Flight flight) {
        tokensInFlight -= flight.tokens;
        flight.tokens = 0;
        reading(flight);
    }

    public void ended(Flight flight) {
        if (flights.remove(flight)) {
            tokensInFlight -= flight.tokens;
        }
    }

    private void reading(Flight flight) {
        flights.remove(flight);
        flights.add(flight); // what has been read is no sign of a server that is stuck
        answeredFlights.add(flight);
        answeredFlights.retainAll(flights);
    }

    /** How long the oldest request there has waited for its prompt to be read. */
    public double waitedMs(double now) {
        for (Flight f : flights) {
            if (!answeredFlights.contains(f)) {
                return now - f.since;
            }
        }
        return 0;
    }

    /** A prompt took so much longer than its tokens need: others were before it. */
    public void queued(double now, double delayMs) {
        queueMs = queueMs(now) + (Math.max(0, delayMs) - queueMs(now)) * QUEUE_STEP;
        queuedAt = now;
    }

    /** The wait that a prompt will likely meet there, from what others met lately. */
    public double queueMs(double now) {
        return queueMs * Math.exp((queuedAt - now) / QUEUE_TAU_MS);
    }

    /** It turned a request away, or let no connection in: it is left alone for a while, longer each time in a row. */
    public void rest(double now, double firstMs, double mostMs) {
        restMs = restMs == 0 ? firstMs : Math.min(mostMs, 2 * restMs);
        restUntil = now + restMs;
    }

    /** It served a request: the next rest is a short one again. */
    public void served() {
        restMs = 0;
    }

    boolean resting(double now) {
        return now < restUntil;
    }

    boolean condemned() {
        return condemned;
    }

    void judged(double now, boolean verdict) {
        condemned = verdict;
        condemnedCheckedAt = now;
    }

    double condemnedCheckedAt() {
        return condemnedCheckedAt;
    }

    double lastTrialAt() {
        return lastTrialAt;
    }

    void tried(double now) {
        lastTrialAt = now;
    }
}
