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
 * Stands in for a server: runs the requests that name its instance, and records what it did in the history. State
 * belongs to the loop's thread; the public methods may be called from any thread.
 */
public abstract class StandInServer {
    private static final String REPORT_PATH = "/report";

    /** What the server does with requests. */
    public enum Behaviour {
        WORKS,
        /** Rejects requests for lack of capacity. */
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

    /** The server as the endpoint list names it. */
    public ServerIdentity identity() {
        return identity;
    }

    /** Changes what is done with requests from now on. */
    public void behaviour(Behaviour next) {
        behaviour = next;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Ends the server and its connections; returns when that is done. */
    public void crash() {
        CompletableFuture<Void> down = new CompletableFuture<>();
        loop.execute(() -> {
            down();
            down.complete(null);
        });
        Futures.await(down);
    }

    private void down() {
        listener.close();
        List.copyOf(connections).forEach(ServerConnection::crash);
    }

    /** Runs or rejects a request that names this instance, or none. */
    abstract void handle(Arrival arrival);

    final void record(FleetEvent event) {
        history.add(event);
    }

    /** A request that has arrived, with the means to respond. */
    final class Arrival {
        final String attemptId;
        final String method;
        final String target;
        final String body;
        private final RequestParser request;
        private final ServerConnection connection;
        private boolean running;

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

        boolean open() {
            return connection.isOpen();
        }

        /** Records the start of the run. */
        void run() {
            running = true;
            record(new FleetEvent.RunStarted(loop.now(), identity, attemptId));
        }

        /** Records the end of the run, once. */
        void ended(RunEnd end) {
            if (running) {
                running = false;
                record(new FleetEvent.RunEnded(loop.now(), identity, attemptId, end));
            }
        }

        /** Rejects the request without running it. */
        void reject(int status) {
            record(new FleetEvent.RunRejected(loop.now(), identity, attemptId, status));
            connection.reply(head(status).header(WireFields.NOT_EXECUTED, "1"), "");
        }

        /** Sends a complete response without a seal. */
        void answer(int status, String text) {
            answer(status, Optional.empty(), text);
        }

        /** Sends a complete response; {@code seal}: names it in the history. */
        void answer(int status, String seal, String text) {
            answer(status, Optional.of(seal), text);
        }

        private void answer(int status, Optional<String> seal, String text) {
            ended(RunEnd.COMPLETED);
            record(new FleetEvent.Answered(loop.now(), identity, attemptId, status, seal, text));
            connection.reply(head(status).header(WireFields.SEAL, seal.orElse(null)), text);
        }

        private MessageWriter head(int status) {
            return MessageWriter.response(status).header(WireFields.ATTEMPT_ID, attemptId);
        }

        void beginStream(String seal) {
            record(new FleetEvent.StreamBegun(loop.now(), identity, attemptId, seal));
            connection.part(head(200)
                    .header(WireFields.SEAL, seal)
                    .header("Content-Type", "text/event-stream")
                    .header("Transfer-Encoding", "chunked")
                    .noBody());
        }

        void event(int id, String text) {
            record(new FleetEvent.StreamEventSent(loop.now(), identity, attemptId, id, text));
            connection.part(Chunks.of(text));
        }

        void endStream() {
            ended(RunEnd.COMPLETED);
            connection.last();
        }
    }

    private final class ServerConnection extends HttpEndpoint {
        private Arrival arrival;

        @Override
        protected void opened() {
            connections.add(this);
        }

        @Override
        protected void ended() {
            connections.remove(this);
            if (arrival != null) {
                arrival.ended(RunEnd.CALLER_LEFT);
            }
        }

        void crash() {
            connections.remove(this);
            if (arrival != null) {
                arrival.ended(RunEnd.CRASHED);
            }
            close();
        }

        boolean isOpen() {
            return open();
        }

        @Override
        protected void request(RequestParser request) {
            if (request.target().equals(REPORT_PATH)) {
                reply(MessageWriter.response(200), report());
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

        /** Always busy with another lease holder's order, so that only the tests change stages. */
        private String report() {
            String stage = identity.stage() == ServerStage.NONE
                    ? "null"
                    : "\"" + identity.stage().wireName() + "\"";
            return "{\"stage\":" + stage + ",\"models\":[],\"busy\":true,\"sequence_number\":1,"
                    + "\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_capacity\":1,\"context_handles\":0}";
        }

        void reply(MessageWriter head, String text) {
            answer(head.body(text.getBytes(StandardCharsets.UTF_8)));
        }

        void part(ByteBuffer bytes) {
            write(bytes);
        }

        void last() {
            answer(Chunks.last());
        }
    }
}
