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
 * Has a prefill server prefill the prompt, and ends by starting the decode phase: with the KV cache's handle, or
 * without one where no prefill server can take the prompt. The first attempt that a server takes up is free of charge,
 * further and rejected ones count (PROTOCOL, Prefill and decode). On the event loop's thread only.
 */
final class PrefillPhase {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();
    private static final RoutingParameters.PrefillLoad PREFILL_LOAD = RoutingParameters.DEFAULTS.prefillLoad();

    private final GenerationRequest request;
    /** The latest attempt; null before the first. */
    private ServerAttempt attempt;

    /** Null before the first attempt was started. */
    private TimerWheel.Timer overdueTimer;

    /** Attempts that may have reached a server. */
    private int prefills;
    /** Whether the attempt that was free of charge may have reached a server, and is not known to be taken up there. */
    private boolean isFreeAttemptUnanswered;

    PrefillPhase(GenerationRequest request) {
        this.request = request;
    }

    /** Sends the prompt to a server, or goes on to decode where none is there or none may be sent to. */
    void start() {
        Server server = pickServer();
        boolean freeOfCharge = prefills == 0;
        if (server == null || !tryAcquireAttempt(freeOfCharge)) {
            startDecodeWithoutHandle();
            return;
        }
        sendTo(server, freeOfCharge);
    }

    /** Takes what the attempt costs, so it is asked only where there is a server. */
    private boolean tryAcquireAttempt(boolean freeOfCharge) {
        return freeOfCharge ? request.allowance.isAccessAllowed() : tryAcquireRetry();
    }

    /**
     * Only an attempt that a server takes up is free. Where one was given up or broke off, the next attempt that is
     * paid for and taken up makes up for it; where none is, it counts itself, as its server may not have begun it.
     */
    private void startDecodeWithoutHandle() {
        if (isFreeAttemptUnanswered) {
            isFreeAttemptUnanswered = false;
            request.allowance.recordRetryChargedLate();
        }
        request.startDecode();
    }

    private void sendTo(Server server, boolean freeOfCharge) {
        prefills++;
        if (freeOfCharge) {
            isFreeAttemptUnanswered = true;
        } else {
            request.allowance.recordAttempt();
        }
        request.forwarder.counters().add(Count.PREFILLS);
        List<Headers.Field> extraFields = List.of(new Headers.Field(HeaderNames.STAGE, "prefill"), priority());
        ServerAttempt started = request.attempts.newAttempt(
                server, request.unsharedTokens(), extraFields, new HandleCollector(server, freeOfCharge));
        attempt = started;
        started.start(request.forwarder.connectTimeoutMs());
        if (started.isOver()) { // withheld at once, and what follows from that has been done
            return;
        }
        double expectedMs = PrefillDecodePicker.prefillMs(request.prefix.tokens())
                + request.forwarder.prefillDecodePicker().estimatedPrefillWaitMs(request.loop.now(), server.state);
        overdueTimer = request.loop.after(HEDGING.prefillMs() + HEDGING.prefillFactor() * expectedMs, this::onOverdue);
    }

    /** The last attempt of the route's limit is left for the decode server. */
    private boolean tryAcquireRetry() {
        return request.allowance.allowsAttemptAfterNext() && request.allowance.tryAcquireRetry();
    }

    /** Null where no server may be picked. */
    private Server pickServer() {
        FleetMetadata fleet = request.forwarder.fleet();
        List<TrackedServer> servers = fleet.servers(request.service.name(), TrackedServer.Stage.PREFILL);
        Optional<TrackedServer> picked = request.forwarder
                .prefillDecodePicker()
                .pickPrefillServer(request.loop.now(), servers, request.prefix, request.attempts::isUnattempted);
        return picked.map(fleet::server).orElse(null);
    }

    /** Short prompts go first: they wait for little, and long ones hardly notice them. */
    private Headers.Field priority() {
        return request.priority((int) (request.unsharedTokens() / PREFILL_LOAD.tokensPerPriorityLevel()));
    }

    private void onOverdue() {
        if (request.isOver() || attempt.isOver() || !request.forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            return;
        }
        Server other = pickServer();
        if (other != null && tryAcquireRetry()) {
            giveUpAttempt();
            sendTo(other, false);
            return;
        }
        boolean waitsLonger = !request.allowsPrefillAtDecodeServer()
                && request.forwarder.policy().isEnabled(Mechanism.LONG_WAIT);
        double leftMs = waitsLonger ? request.lastResortAt() - request.loop.now() : 0;
        if (leftMs > 0) { // at a decode server it would stall the other streams
            overdueTimer = request.loop.after(leftMs, this::onOverdue);
        } else {
            giveUpAttempt();
            startDecodeWithoutHandle();
        }
    }

    private void giveUpAttempt() {
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

    /** Ends the attempt under way. */
    void cancel() {
        if (attempt != null) {
            cancelOverdueTimer();
            attempt.cancel();
        }
    }

    /** Collects a prefill server's answer to one attempt. */
    private final class HandleCollector implements HttpCall.Listener {
        private final Server server;
        private final boolean freeOfCharge;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        HandleCollector(Server server, boolean freeOfCharge) {
            this.server = server;
            this.freeOfCharge = freeOfCharge;
        }

        @Override
        public boolean head(int answerStatus, Headers answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
            return request.attempts.isOwnAnswer(answerHeaders);
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void complete() {
            cancelOverdueTimer();
            isFreeAttemptUnanswered &= !freeOfCharge;
            if (AnswerKind.of(status, headers) == AnswerKind.NOT_EXECUTED) {
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
                request.allowance.recordAttemptChargedLate();
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
                isFreeAttemptUnanswered &= !freeOfCharge;
                if (!freeOfCharge) {
                    request.allowance.revokeAttempt();
                }
            }
            retry();
        }
    }
}
