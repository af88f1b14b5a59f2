package dewplank.emulator;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.ClientBehaviour;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;

/**
 * The client applications, one for each sidecar, with a typical client's retry policy. A safe request is retried after
 * any failure, a keyed one within its deduplication window, and an unsafe one only after a rejection or if the sidecar
 * was unreachable.
 *
 * <p>All methods must be called on the scheduler thread.
 */
public final class Clients {
    /** Sends attempts from clients to their sidecars; implemented by the drivers. */
    public interface SidecarConnector {
        /** Sends the attempt to its sidecar, and calls {@link Clients#onAttemptEnded} when the attempt has ended. */
        void send(ClientAttempt request);

        /** Closes the attempt's connection because the client has stopped waiting. */
        void abandon(ClientAttempt request);
    }

    /** Called once for each request, after its last attempt. */
    public interface OutcomeListener {
        /** {@code tookMs}: time from the first attempt to the successful response, or NaN if there was none. */
        void requestEnded(int requestClass, int tenant, double firstSentAtMs, double tookMs, int attempts, Type last);
    }

    /** Time that a client waits after its deadline for a response in transit, in addition to the scenario's slack. */
    private static final double RESPONSE_SLACK_MS = 1;
    /** Minimum time that must remain before the deadline for a retry to be sent. */
    private static final double MIN_RETRY_MS = 1;
    /** Fraction of the time until the deadline after which an impatient client abandons an attempt. */
    private static final double IMPATIENT_FRACTION = 0.5;

    private final EmulatedEnvironment environment;
    private final SidecarConnector connector;
    private final OutcomeListener listener;
    private final Scenario scenario;
    private final RequestMix mix;
    private final AttemptIds ids = new AttemptIds();
    private final double endMs;
    private int openRequests;

    /** Requests onArrival for the scenario's length, counted from now; {@link #start} starts the arrivals. */
    public Clients(EmulatedEnvironment environment, SidecarConnector connector, OutcomeListener listener) {
        this.environment = environment;
        this.connector = connector;
        this.listener = listener;
        this.scenario = environment.scenario();
        this.mix = new RequestMix(scenario);
        this.endMs = environment.now() + scenario.lengthMs();
    }

    /** Starts generating requests for all sidecars. */
    public void start() {
        for (int i = 0; i < scenario.sidecars(); i++) {
            int sidecar = i;
            new Arrivals(environment, sidecar, mix, ids, endMs, request -> onArrival(request, sidecar)).scheduleNext();
        }
    }

    /** Number of requests that have not completed. */
    public int openRequests() {
        return openRequests;
    }

    private void onArrival(ClientRequest request, int sidecar) {
        openRequests++;
        sendAttempt(request, sidecar);
    }

    private void sendAttempt(ClientRequest request, int sidecar) {
        ClientBehaviour behaviour = scenario.clients();
        double classDeadlineMs = scenario.classes().get(request.requestClass).deadlineMs();
        double now = environment.now();
        double deadlineMs = Math.min(
                request.firstSentAtMs + classDeadlineMs, now + behaviour.attemptDeadlineFraction() * classDeadlineMs);
        ClientAttempt attempt = request.nextAttempt(ids.next(), sidecar, now, deadlineMs);
        environment.record(Type.SENT, attempt, sidecar, RecordedEvent.NONE, deadlineMs);
        connector.send(attempt);
        boolean isImpatient = behaviour.abandonFraction() > 0
                && environment.randomStreams().uniform(-attempt.id()) < behaviour.abandonFraction();
        double waitMs = (deadlineMs - now) * (isImpatient ? IMPATIENT_FRACTION : 1)
                + (isImpatient ? 0 : scenario.rules().responseSlackMs() + RESPONSE_SLACK_MS);
        environment.schedule(waitMs, () -> {
            if (!attempt.hasEnded()) {
                connector.abandon(attempt);
                endAttempt(attempt, Type.ABANDONED, isImpatient ? 1 : 0);
            }
        });
    }

    /**
     * Handles the end of an attempt at the client. A second call for the same attempt is recorded for the auditor, and
     * has no other effect.
     *
     * @param type type of the event to record, with its {@code value}
     */
    public void onAttemptEnded(ClientAttempt attempt, Type type, double value) {
        if (attempt.hasEnded()) {
            environment.record(type, attempt, attempt.sidecar(), RecordedEvent.NONE, value);
            return;
        }
        endAttempt(attempt, type, value);
    }

    private void endAttempt(ClientAttempt attempt, Type type, double value) {
        attempt.end();
        environment.record(type, attempt, attempt.sidecar(), RecordedEvent.NONE, value);
        ClientRequest request = attempt.request();
        if (request == null) {
            return;
        }
        double delayMs = retryDelayMs(attempt, request, type, value);
        if (mayRetry(request, type, delayMs)) {
            environment.schedule(delayMs, () -> sendAttempt(request, attempt.sidecar()));
            return;
        }
        openRequests--;
        listener.requestEnded(
                request.requestClass,
                request.tenant,
                request.firstSentAtMs,
                type == Type.SERVED ? environment.now() - request.firstSentAtMs : Double.NaN,
                request.attempts(),
                type);
    }

    private double retryDelayMs(ClientAttempt attempt, ClientRequest request, Type type, double retryAfterMs) {
        double backoffMs = scenario.clients().backoffMs()
                * (0.5 + environment.randomStreams().uniform(attempt.id()));
        if (type == Type.REFUSED && request.honoursRetryAfter && retryAfterMs > 0) {
            return Math.max(backoffMs, Math.min(retryAfterMs, scenario.rules().maxRetryAdviceMs()));
        }
        return backoffMs;
    }

    private boolean mayRetry(ClientRequest request, Type type, double delayMs) {
        RequestClassSpec spec = scenario.classes().get(request.requestClass);
        double retryAtMs = environment.now() + delayMs;
        if (!isRetryable(request, type, spec)
                || request.attempts() > scenario.clients().maxRetries()
                || retryAtMs >= request.firstSentAtMs + spec.deadlineMs() - MIN_RETRY_MS) {
            return false;
        }
        // a keyed request that is sent after its deduplication window would take effect a second time
        return spec.idempotency() != Idempotency.KEYED
                || type == Type.REFUSED
                || retryAtMs - request.firstSentAtMs < spec.deduplicationWindowMs();
    }

    private boolean isRetryable(ClientRequest request, Type type, RequestClassSpec spec) {
        return switch (type) {
            case SERVED -> false;
            case REFUSED, UNREACHABLE -> true;
            default -> spec.idempotency() == Idempotency.SAFE
                    || spec.idempotency() == Idempotency.KEYED
                            && spec.deduplicationScope() == DeduplicationScope.ALL
                            && environment.now() - request.firstSentAtMs < spec.deduplicationWindowMs();
        };
    }
}
