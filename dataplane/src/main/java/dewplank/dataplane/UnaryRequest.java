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
 * A request whose answer is collected from one server and passed on once it is complete. An idempotent one is sent to
 * another server when its answer is overdue. On the event loop's thread only.
 */
final class UnaryRequest extends ProxiedRequest {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();

    /** The latest attempt; null before the first. */
    private ServerAttempt attempt;

    /** Null where the latest attempt has none. */
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
        ServerAttempt started = attempts.newAttempt(server, 0, List.of(), new AnswerCollector(server));
        attempt = started;
        started.start(forwarder.connectTimeoutMs());
        if (!started.isOver() && isIdempotent() && forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            overdueTimer = loop.after(HEDGING.plainTargetFactor() * route.targetLatencyMs(), this::onOverdue);
        }
    }

    /** Null where no server may be picked. */
    private Server pickServer() {
        List<TrackedServer> servers = forwarder.fleet().servers(service.name());
        boolean allowsTrial = isIdempotent() && allowance.isUnused();
        Optional<TrackedServer> picked = forwarder
                .picker()
                .pick(loop.now(), ServerPicker.PickArguments.byInFlight(servers, attempts::isUnattempted, allowsTrial));
        if (picked.isEmpty()) { // all that are eligible have had the request: one of them once more
            picked = forwarder
                    .picker()
                    .pick(loop.now(), ServerPicker.PickArguments.byInFlight(servers, s -> true, false));
        }
        return picked.map(forwarder.fleet()::server).orElse(null);
    }

    /** Sends the request to another server, if there is one that may have it; else the answer is waited for. */
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
    boolean hasRunUnderWay() {
        return attempt != null && !attempt.isOver() && attempt.mayHaveReachedServer();
    }

    @Override
    void cancelAttempts() {
        cancelOverdueTimer();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Collects the answer to one attempt. */
    private final class AnswerCollector implements HttpCall.Listener {
        private final Server server;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        AnswerCollector(Server server) {
            this.server = server;
        }

        @Override
        public boolean head(int answerStatus, Headers answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
            return attempts.isOwnAnswer(answerHeaders);
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void complete() {
            cancelOverdueTimer();
            AnswerKind kind = AnswerKind.of(status, headers);
            if (kind == AnswerKind.NOT_EXECUTED) {
                forwarder.serverFeedback().recordRejection(server, status);
                sendToNextServer();
                return;
            }
            recordPossibleRun();
            recordOutcome(server, kind == AnswerKind.SUCCESS || AnswerKind.isHealthyFailure(status));
            if (kind == AnswerKind.SUCCESS || kind == AnswerKind.FINAL_FAILURE) {
                relayAnswer();
            } else if (isIdempotent() && allowance.allowsAttempt()) {
                sendToNextServer();
            } else if (kind == AnswerKind.SERVER_FAILURE) {
                relayAnswer();
            } else {
                fail(502);
            }
        }

        private void relayAnswer() {
            relay(status, headers.endToEnd(), body.toByteArray());
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            cancelOverdueTimer();
            Execution execution = forwarder.serverFeedback().recordFailure(server, route.name(), failure);
            if (execution == Execution.IMPOSSIBLE) {
                allowance.revokeAttempt();
                sendToNextServer();
                return;
            }
            recordPossibleRun();
            if (isIdempotent()) {
                sendToNextServer();
            } else {
                fail(502);
            }
        }
    }
}
