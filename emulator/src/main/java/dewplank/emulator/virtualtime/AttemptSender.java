package dewplank.emulator.virtualtime;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Outcome;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Server;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.virtualtime.ConnectionPool.IdleConnection;
import java.util.Optional;

/**
 * Sends a sidecar's attempts to servers: opens or reuses a connection, sends the request, waits for the response or the
 * timeout, and reports each attempt's end to the balancer exactly once. Confined to the scheduler thread.
 */
final class AttemptSender {
    private static final double NO_LOAD_REPORT = -1;

    /** Sends final responses to clients. */
    interface Responder {
        void respond(ClientAttempt client, Type type, double value);
    }

    private final EmulatedEnvironment environment;
    private final Scenario scenario;
    private final int sidecar;
    private final RequestTable requests;
    private final ConnectionPool connections;
    private final EventInbox inbox;
    private final Responder responder;
    private long sentCount;
    private long handshakeCount;

    AttemptSender(SidecarContext context, RequestTable requests, ConnectionPool connections, Responder responder) {
        this.environment = context.environment();
        this.scenario = environment.scenario();
        this.sidecar = context.number();
        this.inbox = context.inbox();
        this.requests = requests;
        this.connections = connections;
        this.responder = responder;
    }

    /** Number of attempts sent so far, excluding those that never left the sidecar. */
    long sentCount() {
        return sentCount;
    }

    /** Number of connection attempts so far. */
    long handshakeCount() {
        return handshakeCount;
    }

    void send(Send action) {
        Optional<PendingRequest> request = requests.find(action.request());
        Optional<Server> server = environment.server(action.server());
        if (request.isEmpty() || server.isEmpty() || !maySend(request.get(), action)) {
            reportNeverSent(action, request);
            return;
        }
        send(action, request.get(), server.get());
    }

    private void send(Send action, PendingRequest request, Server server) {
        sentCount++;
        Attempt attempt = request.addAttempt(server, environment.now());
        double remainingMs = remainingMs(attempt.request);
        environment.schedule(
                action.timeoutMs() == 0 ? remainingMs : Math.min(action.timeoutMs(), remainingMs),
                () -> end(attempt, Outcome.TIMED_OUT, NO_LOAD_REPORT));
        Optional<IdleConnection> idle = connections.take(server);
        if (idle.isPresent()) {
            attempt.connect(idle.get().serverIncarnation());
            write(attempt, connections.isStale(idle.get(), server));
        } else {
            connect(attempt);
        }
    }

    private boolean maySend(PendingRequest request, Send action) {
        return request.isOpen()
                && remainingMs(request) > 0
                && action.timeoutMs() >= 0
                && request.attemptCount() < scenario.rules().maxAttempts();
    }

    private double remainingMs(PendingRequest request) {
        return request.client.deadlineMs() - environment.now();
    }

    private void reportNeverSent(Send action, Optional<PendingRequest> request) {
        int index = request.map(PendingRequest::attemptCount).orElse(0);
        request.ifPresent(PendingRequest::skipAttempt);
        boolean isRequestFinished = request.isEmpty() || !request.get().isOpen();
        inbox.add(new AttemptEnded(
                action.request(), index, action.server(), Outcome.NEVER_SENT, 0, isRequestFinished, null));
    }

    void cancel(Cancel action) {
        requests.find(action.request())
                .flatMap(request -> request.attempt(action.attempt()))
                .ifPresent(attempt -> end(attempt, Outcome.CANCELLED, NO_LOAD_REPORT));
    }

    private void connect(Attempt attempt) {
        Server server = attempt.server;
        handshakeCount++;
        double timeoutMs = scenario.connections().connectTimeoutMs();
        if (timeoutMs > 0) {
            environment.schedule(timeoutMs, () -> {
                if (attempt.isConnecting()) {
                    end(attempt, Outcome.CONNECT_FAILED, NO_LOAD_REPORT);
                }
            });
        }
        double outboundMs = environment.drawDelayMs(sidecar, server);
        double returnMs = environment.drawDelayMs(sidecar, server);
        environment.schedule(outboundMs, () -> connectAtServer(attempt, returnMs));
    }

    private void connectAtServer(Attempt attempt, double returnMs) {
        Server server = attempt.server;
        if (attempt.hasEnded() || isUnreachable(server)) {
            return;
        }
        if (server.state() == Server.State.CRASHED) {
            environment.schedule(returnMs, () -> end(attempt, Outcome.CONNECT_FAILED, NO_LOAD_REPORT));
        } else if (server.connect()) {
            int serverIncarnation = server.incarnation();
            environment.schedule(returnMs + scenario.connections().handshakeMs(), () -> {
                if (attempt.hasEnded()) {
                    server.disconnect(serverIncarnation);
                } else {
                    attempt.connect(serverIncarnation);
                    write(attempt, false);
                }
            });
        }
    }

    /** {@code isStale}: whether the server has closed the connection without the sidecar detecting it. */
    private void write(Attempt attempt, boolean isStale) {
        Server server = attempt.server;
        double outboundMs = environment.drawDelayMs(sidecar, server);
        double returnMs = environment.drawDelayMs(sidecar, server);
        environment.schedule(outboundMs, () -> {
            if (attempt.hasEnded() || isUnreachable(server)) {
                return; // cancelled before it arrived completely, or lost in transit
            }
            if (isStale || !attempt.isConnectedToCurrentProcess() || server.state() == Server.State.CRASHED) {
                environment.schedule(returnMs, () -> end(attempt, Outcome.RESET, NO_LOAD_REPORT));
            } else if (!environment.drawMessageLoss()) {
                offer(attempt, returnMs);
            }
        });
    }

    private void offer(Attempt attempt, double returnMs) {
        Server server = attempt.server;
        server.offer(attempt.request.client, sidecar, (reply, load) -> {
            if (!environment.isPartitioned(sidecar, server.number()) && !environment.drawMessageLoss()) {
                environment.schedule(returnMs, () -> end(attempt, outcome(reply), load));
            }
        });
    }

    private boolean isUnreachable(Server server) {
        return server.state() == Server.State.VANISHED || environment.isPartitioned(sidecar, server.number());
    }

    private static Outcome outcome(Server.Reply reply) {
        return switch (reply) {
            case OK -> Outcome.SERVED;
            case ERROR -> Outcome.ERROR;
            case NEVER_RAN -> Outcome.REJECTED;
            case RESET -> Outcome.RESET;
        };
    }

    /** Ends an attempt; ignored if it has already ended, as when a timeout and a response coincide. */
    private void end(Attempt attempt, Outcome outcome, double load) {
        if (attempt.hasEnded()) {
            return;
        }
        releaseConnection(attempt, outcome);
        PendingRequest request = attempt.request;
        request.onAttemptEnded();
        if (outcome == Outcome.SERVED && request.isOpen()) {
            request.finish();
            responder.respond(request.client, Type.SERVED, (double) request.client.id());
        }
        requests.removeIfDone(request);
        inbox.add(new AttemptEnded(
                request.client.id(),
                attempt.index,
                attempt.server.id(),
                outcome,
                environment.now() - attempt.sentAtMs,
                !request.isOpen(),
                load < 0 ? null : new double[] {load}));
    }

    /** Returns the connection to the pool if its response is complete, and closes it otherwise. */
    private void releaseConnection(Attempt attempt, Outcome outcome) {
        boolean hasResponse = outcome == Outcome.SERVED || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
        boolean isReusable = hasResponse && attempt.isConnectedToCurrentProcess();
        Attempt.State last = attempt.end();
        if (isReusable) {
            connections.putBack(attempt.server);
        } else {
            disconnect(attempt.server, last);
        }
    }

    /** Ends an attempt of a killed sidecar process: closes its connection and reports nothing. */
    void abort(Attempt attempt) {
        disconnect(attempt.server, attempt.end());
    }

    private static void disconnect(Server server, Attempt.State last) {
        if (last instanceof Attempt.Connected connected) {
            server.disconnect(connected.serverIncarnation());
        }
    }
}
