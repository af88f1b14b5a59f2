package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import dewplank.routing.Mechanism;
import dewplank.routing.RoutingParameters;
import dewplank.routing.ServerPicker;
import dewplank.routing.TrackedServer;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/**
 * A request whose response is buffered and relayed once it is complete. An idempotent request is sent to another server
 * if its response is overdue. Not thread-safe; must be used on the event loop's thread only.
 */
final class UnaryRequest extends ProxiedRequest {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();

    /** Responses longer than this are relayed as they arrive. */
    private static final int MAX_COLLECTED_BYTES = 256 * 1024;

    /** Relays a long response; null while none is relayed. */
    private ResponseRelay relay;

    /** The latest attempt; null before the first. */
    private ServerAttempt attempt;

    /** Null if no attempt has had such a timer. */
    private TimerWheel.Timer overdueTimer;

    UnaryRequest(
            Forwarder forwarder,
            InboundConnection.Request request,
            InboundConnection client,
            Route route,
            Service service,
            Credentials credentials,
            double arrivedAt) {
        super(forwarder, request, client, route, service, credentials, arrivedAt);
    }

    @Override
    void sendFirstAttempt() {
        sendToNextServer();
    }

    private void sendToNextServer() {
        if (isOver()) {
            return;
        }
        Server server = pickServer();
        if (server == null) {
            forwarder.counters().add(Count.NO_SERVER);
        }
        if (server == null || !allowance.tryAcquireAttempt()) {
            reject();
            return;
        }
        sendTo(server);
    }

    private void sendTo(Server server) {
        allowance.recordAttempt();
        ServerAttempt started = attempts.newAttempt(server, 0, List.of(), new ResponseCollector(server));
        attempt = started;
        started.start(forwarder.connectTimeoutMs());
        if (!started.isOver() && isIdempotent() && forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            overdueTimer = loop.after(HEDGING.plainTargetFactor() * route.targetLatencyMs(), this::onOverdue);
        }
    }

    /** Returns null if no server is eligible. */
    private Server pickServer() {
        List<TrackedServer> servers = forwarder.fleet().servers(service.name());
        boolean allowsTrial = isIdempotent() && allowance.isUnused();
        Optional<TrackedServer> picked = forwarder
                .picker()
                .pick(
                        loop.now(),
                        ServerPicker.PickArguments.comparingInFlight(servers, attempts::isUnattempted, allowsTrial));
        if (picked.isEmpty()) { // the request was sent to all eligible servers: reuse one of them
            picked = forwarder
                    .picker()
                    .pick(loop.now(), ServerPicker.PickArguments.comparingInFlight(servers, s -> true, false));
        }
        return picked.map(forwarder.fleet()::server).orElse(null);
    }

    /** Sends the request to another server if one is eligible and allowed; otherwise keeps waiting for the response. */
    private void onOverdue() {
        if (isOver() || attempt.isOver()) {
            return;
        }
        Server other = pickServer();
        if (other == null || other == attempt.server() || !allowance.tryAcquireAttempt()) {
            return;
        }
        forwarder.counters().add(Count.TIMEOUTS);
        recordPossibleRunOf(attempt);
        attempt.cancel();
        recordOutcome(attempt.server(), false);
        sendTo(other);
    }

    private void cancelOverdueTimer() {
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
    }

    @Override
    boolean mayBeRunning() {
        return attempt != null && !attempt.isOver() && attempt.mayHaveReachedServer();
    }

    @Override
    void cancelAttempts() {
        cancelOverdueTimer();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    boolean isResponseStarted() {
        return relay != null;
    }

    /**
     * Collects the response to one attempt, so that the request can be retried if the response is not complete. A long
     * response is relayed as it arrives instead, at the pace at which its client reads.
     */
    private final class ResponseCollector implements HttpCall.Listener {
        private final Server server;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;
        private ResponseKind kind;

        ResponseCollector(Server server) {
            this.server = server;
        }

        @Override
        public boolean head(int responseStatus, Headers responseHeaders) {
            status = responseStatus;
            headers = responseHeaders;
            kind = ResponseKind.of(responseStatus, responseHeaders);
            return attempts.isResponseToThisRequest(responseHeaders);
        }

        @Override
        public void body(byte[] bytes) {
            if (relay != null) {
                relay.write(bytes);
            } else if (kind != ResponseKind.NOT_EXECUTED && kind != ResponseKind.UNUSABLE) { // these are never relayed
                body.writeBytes(bytes);
                if (body.size() > MAX_COLLECTED_BYTES) {
                    startRelay();
                }
            }
        }

        @Override
        public long heldBytes() {
            return body.size();
        }

        @Override
        public boolean releaseHeldBytes() {
            startRelay();
            return true;
        }

        /** Relays what was collected and then what arrives; from now on the request can't be retried. */
        private void startRelay() {
            if (relay != null || body.size() == 0) {
                return;
            }
            cancelOverdueTimer();
            recordPossibleRun();
            relay = new ResponseRelay(client, attempt);
            relay.start(status, headers);
            relay.write(body.toByteArray());
            body.reset();
        }

        @Override
        public void complete() {
            cancelOverdueTimer();
            if (relay != null) {
                recordOutcome(server, kind == ResponseKind.SUCCESS || ResponseKind.isHealthyFailure(status));
                client.endResponse();
                UnaryRequest.this.complete();
                return;
            }
            if (kind == ResponseKind.NOT_EXECUTED) {
                forwarder.serverFeedback().recordRejection(server, status);
                sendToNextServer();
                return;
            }
            recordPossibleRun();
            recordOutcome(server, kind == ResponseKind.SUCCESS || ResponseKind.isHealthyFailure(status));
            if (kind == ResponseKind.SUCCESS || kind == ResponseKind.FINAL_FAILURE) {
                relayResponse();
            } else if (isIdempotent() && allowance.allowsAttempt()) {
                sendToNextServer();
            } else if (kind == ResponseKind.SERVER_FAILURE) {
                relayResponse();
            } else {
                fail(502);
            }
        }

        private void relayResponse() {
            relay(status, headers.endToEnd(), body.toByteArray());
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            cancelOverdueTimer();
            Execution execution = forwarder.serverFeedback().recordFailure(server, route.name(), failure);
            if (execution == Execution.IMPOSSIBLE) {
                allowance.undoAttempt();
                sendToNextServer();
                return;
            }
            recordPossibleRun();
            if (relay != null) {
                abortResponse();
            } else if (isIdempotent()) {
                sendToNextServer();
            } else {
                fail(502);
            }
        }
    }
}
