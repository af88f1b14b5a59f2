package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import dewplank.routing.Mechanism;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.RoutingParameters;
import dewplank.routing.TrackedServer;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/**
 * Sends the prompt to a prefill server and then starts the decode phase: with the handle of the KV cache, or without
 * one if no prefill server can prefill the prompt. The first attempt that a server accepts is exempt from the route's
 * limit and the retry budget; further and rejected attempts count, as the section "Prefill and decode" of the
 * operators' protocol defines it. Not thread-safe; must be used on the event loop's thread only.
 */
final class PrefillPhase {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();
    /** Maximum size of a prefill server's response, which contains a handle and a number. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private static final RoutingParameters.PrefillLoad PREFILL_LOAD = RoutingParameters.DEFAULTS.prefillLoad();

    private final GenerationRequest request;
    /** The latest attempt; null before the first. */
    private ServerAttempt attempt;

    /** Null before the first attempt is started. */
    private TimerWheel.Timer overdueTimer;

    /** Attempts that may have reached a server. */
    private int prefills;
    /** Whether the exempt attempt may have reached a server and it is unknown whether the server accepted it. */
    private boolean isExemptAttemptUnconfirmed;

    PrefillPhase(GenerationRequest request) {
        this.request = request;
    }

    /** Sends the prompt to a prefill server, or starts decode if none is available or no attempt is allowed. */
    void start() {
        Server server = pickServer();
        boolean isExempt = prefills == 0;
        if (server == null || !tryAcquireAttempt(isExempt)) {
            startDecodeWithoutHandle();
            return;
        }
        sendTo(server, isExempt);
    }

    /**
     * Must be called only if a server is available, because it charges the attempt to the retry budget unless it is
     * exempt.
     */
    private boolean tryAcquireAttempt(boolean isExempt) {
        return isExempt ? request.allowance.isAccessAllowed() : tryAcquireRetry();
    }

    /**
     * Only an attempt that a server accepts is exempt. If the exempt attempt was cancelled or its connection broke, its
     * server may not have accepted it. A later attempt, which is charged, takes its place if a server accepts it and
     * returns a handle. If there is no such attempt, the exempt attempt is counted in the retry budget here.
     */
    private void startDecodeWithoutHandle() {
        if (isExemptAttemptUnconfirmed) {
            isExemptAttemptUnconfirmed = false;
            request.allowance.countExemptAttemptInBudget();
        }
        request.startDecode();
    }

    private void sendTo(Server server, boolean isExempt) {
        prefills++;
        if (isExempt) {
            isExemptAttemptUnconfirmed = true;
        } else {
            request.allowance.recordAttempt();
        }
        request.forwarder.counters().add(Count.PREFILLS);
        List<Headers.Field> extraFields =
                List.of(new Headers.Field(HeaderNames.STAGE, "prefill"), prefillPriorityField());
        ServerAttempt started = request.attempts.newAttempt(
                server, request.unsharedTokens(), extraFields, new PrefillResponseCollector(server, isExempt));
        attempt = started;
        started.collectBody(MAX_RESPONSE_BYTES);
        started.start(request.forwarder.connectTimeoutMs());
        if (started.isOver()) { // the attempt was not sent, and its listener has handled that
            return;
        }
        double expectedMs = PrefillDecodePicker.prefillMs(request.prefix.tokens())
                + request.forwarder.prefillDecodePicker().estimatedPrefillWaitMs(request.loop.now(), server.state);
        overdueTimer = request.loop.after(HEDGING.prefillMs() + HEDGING.prefillFactor() * expectedMs, this::onOverdue);
    }

    /** Reserves the last attempt of the route's limit for the decode server. */
    private boolean tryAcquireRetry() {
        return request.allowance.allowsAttemptAfterNext() && request.allowance.tryAcquireRetry();
    }

    /** Returns null if no server is eligible. */
    private Server pickServer() {
        FleetMetadata fleet = request.forwarder.fleet();
        List<TrackedServer> servers = fleet.servers(request.service.name(), TrackedServer.Stage.PREFILL);
        Optional<TrackedServer> picked = request.forwarder
                .prefillDecodePicker()
                .pickPrefillServer(request.loop.now(), servers, request.prefix, request.attempts::isUnattempted);
        return picked.map(fleet::server).orElse(null);
    }

    /** Gives short prompts a higher priority, because they take little time and hardly delay long prompts. */
    private Headers.Field prefillPriorityField() {
        return request.priorityField((int) (request.unsharedTokens() / PREFILL_LOAD.tokensPerPriorityLevel()));
    }

    private void onOverdue() {
        if (request.isOver() || attempt.isOver() || !request.forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            return;
        }
        Server other = pickServer();
        if (other != null && tryAcquireRetry()) {
            cancelOverdueAttempt();
            sendTo(other, false);
            return;
        }
        boolean waitsLonger = !request.allowsPrefillAtDecodeServer()
                && request.forwarder.policy().isEnabled(Mechanism.LONG_WAIT);
        double leftMs = waitsLonger ? request.latestDecodePrefillStart() - request.loop.now() : 0;
        if (leftMs > 0) { // prefill at a decode server would stall its other streams
            overdueTimer = request.loop.after(leftMs, this::onOverdue);
        } else {
            cancelOverdueAttempt();
            startDecodeWithoutHandle();
        }
    }

    private void cancelOverdueAttempt() {
        request.forwarder.counters().add(Count.TIMEOUTS);
        request.forwarder.counters().add(Count.PREFILL_FAILURES);
        attempt.cancel();
        request.recordOutcome(attempt.server(), false);
    }

    private void retry() {
        request.forwarder.counters().add(Count.PREFILL_FAILURES);
        start();
    }

    private void cancelOverdueTimer() {
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
    }

    /** Cancels the attempt in flight. */
    void cancel() {
        if (attempt != null) {
            cancelOverdueTimer();
            attempt.cancel();
        }
    }

    /** Collects a prefill server's response to one attempt. */
    private final class PrefillResponseCollector implements HttpCall.Listener {
        private final Server server;
        private final boolean isExempt;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        PrefillResponseCollector(Server server, boolean isExempt) {
            this.server = server;
            this.isExempt = isExempt;
        }

        @Override
        public boolean head(int responseStatus, Headers responseHeaders) {
            status = responseStatus;
            headers = responseHeaders;
            return request.attempts.isResponseToThisRequest(responseHeaders);
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void complete() {
            cancelOverdueTimer();
            isExemptAttemptUnconfirmed &= !isExempt;
            if (ResponseKind.of(status, headers) == ResponseKind.NOT_EXECUTED) {
                onRejected();
                return;
            }
            Optional<PrefillResponse> response =
                    status == 200 ? PrefillResponse.parse(body.toByteArray()) : Optional.empty();
            request.recordOutcome(server, response.isPresent());
            if (response.isEmpty()) {
                retry();
                return;
            }
            onPrefilled(response.get());
        }

        private void onPrefilled(PrefillResponse response) {
            double ownMs = PrefillDecodePicker.prefillMs(request.unsharedTokens());
            server.state.recordQueueDelay(request.loop.now(), attempt.elapsedMs() - ownMs);
            request.recordPrefilled(new KvHandle(server, response.handle()));
            long sinceArrivalMs = (long) (request.prefilledAt() - request.arrivedAt);
            request.forwarder.counters().add(Count.PREFILL_MS, sinceArrivalMs);
            request.startDecode();
        }

        private void onRejected() {
            request.forwarder.serverFeedback().recordRejection(server, status);
            if (isExempt) {
                request.allowance.countExemptAttempt();
            }
            retry();
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            cancelOverdueTimer();
            Execution execution =
                    request.forwarder.serverFeedback().recordFailure(server, request.route.name(), failure);
            if (execution == Execution.IMPOSSIBLE) {
                prefills--;
                isExemptAttemptUnconfirmed &= !isExempt;
                if (!isExempt) {
                    request.allowance.undoAttempt();
                }
            }
            retry();
        }
    }
}
