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
 * one if no prefill server can prefill the prompt. The first attempt that a server accepts is free of charge; further
 * and rejected attempts count (PROTOCOL, Prefill and decode). Accessed only on the event loop's thread.
 */
final class PrefillPhase {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();
    private static final RoutingParameters.PrefillLoad PREFILL_LOAD = RoutingParameters.DEFAULTS.prefillLoad();

    private final GenerationRequest request;
    /** The latest attempt; null before the first. */
    private ServerAttempt attempt;

    /** Null before the first attempt is started. */
    private TimerWheel.Timer overdueTimer;

    /** Attempts that may have reached a server. */
    private int prefills;
    /** Whether the free attempt may have reached a server that is not known to have accepted it. */
    private boolean isFreeAttemptUnconfirmed;

    PrefillPhase(GenerationRequest request) {
        this.request = request;
    }

    /** Sends the prompt to a prefill server, or starts decode if none is available or no attempt is allowed. */
    void start() {
        Server server = pickServer();
        boolean freeOfCharge = prefills == 0;
        if (server == null || !tryAcquireAttempt(freeOfCharge)) {
            startDecodeWithoutHandle();
            return;
        }
        sendTo(server, freeOfCharge);
    }

    /** Charges the attempt to the retry budget, so it is called only if a server is available. */
    private boolean tryAcquireAttempt(boolean freeOfCharge) {
        return freeOfCharge ? request.allowance.isAccessAllowed() : tryAcquireRetry();
    }

    /**
     * Only an attempt that a server accepts is free. If the free attempt was cancelled or its connection broke, a later
     * attempt that is charged and accepted compensates for it. If there is no such attempt, the free attempt is charged
     * here, as its server may not have started it.
     */
    private void startDecodeWithoutHandle() {
        if (isFreeAttemptUnconfirmed) {
            isFreeAttemptUnconfirmed = false;
            request.allowance.chargeFreeAttemptToBudget();
        }
        request.startDecode();
    }

    private void sendTo(Server server, boolean freeOfCharge) {
        prefills++;
        if (freeOfCharge) {
            isFreeAttemptUnconfirmed = true;
        } else {
            request.allowance.recordAttempt();
        }
        request.forwarder.counters().add(Count.PREFILLS);
        List<Headers.Field> extraFields = List.of(new Headers.Field(HeaderNames.STAGE, "prefill"), priority());
        ServerAttempt started = request.attempts.newAttempt(
                server, request.unsharedTokens(), extraFields, new PrefillResponseCollector(server, freeOfCharge));
        attempt = started;
        started.start(request.forwarder.connectTimeoutMs());
        if (started.isOver()) { // not sent; its listener has already handled that
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

    /** Gives short prompts a higher priority: their delay is short, and they hardly delay long prompts. */
    private Headers.Field priority() {
        return request.priority((int) (request.unsharedTokens() / PREFILL_LOAD.tokensPerPriorityLevel()));
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
        double leftMs = waitsLonger ? request.lastResortAt() - request.loop.now() : 0;
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
        private final boolean freeOfCharge;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        PrefillResponseCollector(Server server, boolean freeOfCharge) {
            this.server = server;
            this.freeOfCharge = freeOfCharge;
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
            isFreeAttemptUnconfirmed &= !freeOfCharge;
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
            if (freeOfCharge) {
                request.allowance.chargeFreeAttemptToLimitAndBudget();
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
                isFreeAttemptUnconfirmed &= !freeOfCharge;
                if (!freeOfCharge) {
                    request.allowance.revokeAttempt();
                }
            }
            retry();
        }
    }
}
