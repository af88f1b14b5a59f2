package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.RunEnd;
import dewplank.emulator.loopback.Addresses;
import dewplank.emulator.loopback.HttpEndpoint;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates a server: runs the requests for its instance and records its actions in the history. The state is confined
 * to the loop's thread; the public methods may be called from any thread.
 */
public abstract class StandInServer {
    private static final String REPORT_PATH = "/report";

    /** How the server handles requests. */
    public enum Behaviour {
        WORKS,
        /** Rejects requests because it has no capacity. */
        FULL,
        /** Accepts requests and does not respond. */
        UNRESPONSIVE
    }

    private static final int MAX_CONNECTIONS = 1_024;

    final EventLoop loop;
    final History history;
    private final ServerIdentity identity;
    private final InetSocketAddress address;
    private final Set<ServerConnection> connections = new HashSet<>();
    private Listener listener;
    volatile Behaviour behaviour = Behaviour.WORKS;

    StandInServer(EventLoop loop, History history, ServerIdentity identity, InetSocketAddress address)
            throws IOException {
        this.loop = loop;
        this.history = history;
        this.identity = identity;
        this.address = address;
        listener = new Listener(loop, address, MAX_CONNECTIONS, ServerConnection::new);
        loop.execute(listener::accept);
    }

    static ServerIdentity identity(
            String instanceId, String service, String zone, ServerStage stage, InetSocketAddress at) {
        return new ServerIdentity(instanceId, service, zone, stage, Addresses.format(at));
    }

    /** The server's entry in the endpoint list. */
    public ServerIdentity identity() {
        return identity;
    }

    /** Changes how later requests are handled. */
    public void behaviour(Behaviour next) {
        behaviour = next;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Closes the listener and all connections, and waits until that is done. */
    public void crash() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            shutDown();
            done.complete(null);
        });
        Futures.await(done);
    }

    private void shutDown() {
        listener.close();
        List.copyOf(connections).forEach(ServerConnection::crash);
    }

    /** Runs or rejects a request that names this instance or no instance. */
    abstract void handle(Arrival arrival);

    final void record(FleetEvent event) {
        history.add(event);
    }

    /** A received request and the methods to respond to it. */
    final class Arrival {
        final String attemptId;
        final String method;
        final String target;
        final String body;
        private final RequestParser request;
        private final ServerConnection connection;
        private boolean isRunning;

        private Arrival(RequestParser request, ServerConnection connection) {
            this.request = request;
            this.connection = connection;
            this.attemptId = String.valueOf(request.headers().get(WireFields.ATTEMPT_ID));
            this.method = request.method();
            this.target = request.target();
            this.body = new String(request.takeBody(), StandardCharsets.UTF_8);
        }

        String header(String name) {
            return request.headers().get(name);
        }

        boolean isOpen() {
            return connection.isOpen();
        }

        /** Records the start of the run. */
        void startRun() {
            isRunning = true;
            record(new FleetEvent.RunStarted(loop.now(), identity, attemptId));
        }

        /** Records the end of the run; does nothing if no run is in progress. */
        void endRun(RunEnd end) {
            if (isRunning) {
                isRunning = false;
                record(new FleetEvent.RunEnded(loop.now(), identity, attemptId, end));
            }
        }

        /** Rejects the request without running it. */
        void reject(int status) {
            record(new FleetEvent.RunRejected(loop.now(), identity, attemptId, status));
            connection.sendResponse(head(status).header(WireFields.NOT_EXECUTED, "1"), "");
        }

        /** Sends a complete response without a seal. */
        void respond(int status, String text) {
            respond(status, Optional.empty(), text);
        }

        /** Sends a complete response; the seal identifies it in the history. */
        void respond(int status, String seal, String text) {
            respond(status, Optional.of(seal), text);
        }

        private void respond(int status, Optional<String> seal, String text) {
            endRun(RunEnd.COMPLETED);
            record(new FleetEvent.ResponseSent(loop.now(), identity, attemptId, status, seal, text));
            connection.sendResponse(head(status).header(WireFields.SEAL, seal.orElse(null)), text);
        }

        private MessageWriter head(int status) {
            return MessageWriter.response(status).header(WireFields.ATTEMPT_ID, attemptId);
        }

        void startStream(String seal) {
            record(new FleetEvent.StreamStarted(loop.now(), identity, attemptId, seal));
            connection.sendPart(head(200)
                    .header(WireFields.SEAL, seal)
                    .header("Content-Type", "text/event-stream")
                    .header("Transfer-Encoding", "chunked")
                    .noBody());
        }

        void sendEvent(int id, String text) {
            record(new FleetEvent.StreamEventSent(loop.now(), identity, attemptId, id, text));
            connection.sendPart(Chunks.of(text));
        }

        void endStream() {
            endRun(RunEnd.COMPLETED);
            connection.sendLastChunk();
        }
    }

    private final class ServerConnection extends HttpEndpoint {
        private Arrival arrival;

        @Override
        protected void onAccepted() {
            connections.add(this);
        }

        @Override
        protected void onClosed() {
            connections.remove(this);
            if (arrival != null) {
                arrival.endRun(RunEnd.CALLER_LEFT);
            }
        }

        void crash() {
            connections.remove(this);
            if (arrival != null) {
                arrival.endRun(RunEnd.CRASHED);
            }
            close();
        }

        boolean isOpen() {
            return open();
        }

        @Override
        protected void onRequest(RequestParser request) {
            if (request.target().equals(REPORT_PATH)) {
                sendResponse(MessageWriter.response(200), report());
                return;
            }
            Arrival arrival = new Arrival(request, this);
            this.arrival = arrival;
            record(new FleetEvent.Arrived(
                    loop.now(),
                    identity,
                    arrival.attemptId,
                    ServerStage.PREFILL.isNamedBy(arrival.header(WireFields.STAGE)),
                    arrival.method,
                    arrival.target,
                    arrival.body,
                    Optional.ofNullable(arrival.header(WireFields.TENANT_NAME))));
            String targetInstance = arrival.header(WireFields.TARGET_INSTANCE);
            if (targetInstance != null && !targetInstance.equals(identity.instanceId())) {
                arrival.reject(421);
            } else if (behaviour == Behaviour.FULL) {
                arrival.reject(503);
            } else {
                handle(arrival);
            }
        }

        /** Reports that an order of another lease holder is in progress, so that only the tests change stages. */
        private String report() {
            String stage = identity.stage() == ServerStage.NONE
                    ? "null"
                    : "\"" + identity.stage().wireName() + "\"";
            return "{\"stage\":" + stage + ",\"models\":[],\"busy\":true,\"sequence_number\":1,"
                    + "\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_capacity\":1,\"context_handles\":0}";
        }

        void sendResponse(MessageWriter head, String text) {
            respond(head.body(text.getBytes(StandardCharsets.UTF_8)));
        }

        void sendPart(ByteBuffer bytes) {
            write(bytes);
        }

        void sendLastChunk() {
            respond(Chunks.last());
        }
    }
}
