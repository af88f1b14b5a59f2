package dewplank.emulator.loopback;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.Server;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Exposes one server of the model on sockets, with an address for each sidecar. It refuses connections while the
 * server's process is down after a crash, and does not respond while its machine has vanished. The operating system
 * still accepts connections to a vanished machine, which a user program can't prevent: the sidecar's wait for the
 * response times out, whereas in a real network the connection attempt would. Used only on the loop's thread.
 */
final class ServerEndpoint {
    private static final int MAX_CONNECTIONS = 20_000;

    private final EventLoop loop;
    private final EmulatedEnvironment environment;
    private final Server server;
    private final Map<Long, ClientAttempt> attempts;
    private final InetSocketAddress[] addresses;
    private final List<Listener> listeners = new ArrayList<>();
    private final Set<ServerConnection> connections = new HashSet<>();

    ServerEndpoint(EventLoop loop, EmulatedEnvironment environment, Server server, Map<Long, ClientAttempt> attempts)
            throws IOException {
        this.loop = loop;
        this.environment = environment;
        this.server = server;
        this.attempts = attempts;
        this.addresses = new InetSocketAddress[environment.scenario().sidecars()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] =
                    Addresses.server(i, server.number(), environment.servers().size());
        }
        listen();
    }

    InetSocketAddress address(int sidecar) {
        return addresses[sidecar];
    }

    private void listen() throws IOException {
        for (int i = 0; i < addresses.length; i++) {
            int sidecar = i;
            Listener listener = new Listener(loop, addresses[i], MAX_CONNECTIONS, () -> new ServerConnection(sidecar));
            addresses[i] = (InetSocketAddress) listener.address();
            listeners.add(listener);
            loop.execute(listener::accept);
        }
    }

    /** Handles the exit of the server's process: closes its connections and refuses new ones. */
    void stop() {
        listeners.forEach(Listener::close);
        listeners.clear();
        new ArrayList<>(connections).forEach(ServerConnection::closeConnection);
    }

    /** Handles the restart of the server's process: accepts connections. */
    void restart() throws IOException {
        new ArrayList<>(connections)
                .forEach(ServerConnection::closeConnection); // those that were open when the machine vanished
        if (listeners.isEmpty()) {
            listen();
        }
    }

    /** The state of a connection in the model's server; {@link HttpEndpoint} tracks whether it has closed. */
    private enum ConnectionState {
        /** Accepted by the operating system, but the server is not running or its connection table is full. */
        UNCOUNTED,
        /** Has an entry in the server's connection table. */
        COUNTED,
        /** Closed by the server after an idle period, without notice to the sidecar; still has its table entry. */
        STALE;

        private boolean canChangeTo(ConnectionState next) {
            return switch (this) {
                case UNCOUNTED -> next == COUNTED;
                case COUNTED -> next == STALE;
                case STALE -> false;
            };
        }
    }

    private final class ServerConnection extends HttpEndpoint {
        private final int sidecar;
        private final int incarnation = server.incarnation();
        private ConnectionState state = ConnectionState.UNCOUNTED;
        private double readyAtMs;
        private int requestsInProgress;
        private int idlePeriods;

        ServerConnection(int sidecar) {
            this.sidecar = sidecar;
        }

        @Override
        protected void onAccepted() {
            connections.add(this);
            readyAtMs = environment.now() + environment.scenario().connections().handshakeMs();
            if (server.state() == Server.State.VANISHED) {
                return;
            }
            if (server.connect()) {
                changeState(ConnectionState.COUNTED);
                startIdlePeriod();
            } else {
                closeConnection();
            }
        }

        @Override
        protected void onClosed() {
            boolean isFirstEnd = connections.remove(this); // a reset may follow a close by the sidecar
            if (isFirstEnd && state != ConnectionState.UNCOUNTED) {
                server.disconnect(incarnation);
            }
        }

        private void closeConnection() {
            close();
            onClosed();
        }

        @Override
        protected boolean isReceiving() {
            return server.state() != Server.State.VANISHED
                    && incarnation == server.incarnation()
                    && !environment.isPartitioned(sidecar, server.number());
        }

        @Override
        protected void onRequest(RequestParser request) {
            double outboundMs = environment.drawDelayMs(sidecar, server) + Math.max(0, readyAtMs - environment.now());
            double returnMs = environment.drawDelayMs(sidecar, server);
            String target = request.target();
            if (target.equals("/ping")) {
                boolean isUp = server.state() == Server.State.UP;
                environment.schedule(
                        outboundMs + returnMs,
                        () -> sendResponse(
                                MessageWriter.response(isUp ? 200 : 503).body(new byte[0])));
                return;
            }
            ClientAttempt attempt = attempts.get(parseId(request.headers().get("X-Trace-Id")));
            request.takeBody();
            if (attempt == null) {
                sendResponse(
                        MessageWriter.response(400).body("no client sent this\n".getBytes(StandardCharsets.US_ASCII)));
                return;
            }
            if (state == ConnectionState.STALE) {
                closeConnection();
                return;
            }
            requestsInProgress++;
            environment.schedule(outboundMs, () -> {
                if (isReceiving() && open() && !environment.drawMessageLoss()) {
                    server.offer(
                            attempt,
                            sidecar,
                            (reply, inFlight) ->
                                    environment.schedule(returnMs, () -> finish(attempt, reply, inFlight)));
                }
            });
        }

        /** Starts an idle period. If it exceeds the limit, the connection closes, or becomes stale without notice. */
        private void startIdlePeriod() {
            double idleTimeoutMs = environment.scenario().connections().idleMs();
            int period = ++idlePeriods;
            if (idleTimeoutMs > 0) {
                environment.schedule(idleTimeoutMs, () -> {
                    if (period == idlePeriods && requestsInProgress == 0 && open()) {
                        if (environment.scenario().connections().detectsServerClose()) {
                            closeConnection();
                        } else {
                            changeState(ConnectionState.STALE);
                        }
                    }
                });
            }
        }

        private void changeState(ConnectionState next) {
            if (!state.canChangeTo(next)) {
                throw new IllegalStateException("a connection of sidecar " + sidecar + " to server " + server.number()
                        + " can't change from " + state + " to " + next);
            }
            state = next;
        }

        private void finish(ClientAttempt attempt, Server.Reply reply, double inFlight) {
            requestsInProgress--;
            startIdlePeriod();
            if (environment.drawMessageLoss()) {
                return;
            }
            if (reply == Server.Reply.RESET) {
                closeConnection();
                return;
            }
            MessageWriter head =
                    switch (reply) {
                        case OK -> MessageWriter.response(200);
                        case ERROR -> MessageWriter.response(500);
                        default -> MessageWriter.response(503).header("X-Never-Ran", "1");
                    };
            head.header("Endpoint-Load-Metrics", inFlight < 0 ? null : "TEXT rif=" + (long) inFlight);
            sendResponse(head.body(("made for " + attempt.id()).getBytes(StandardCharsets.US_ASCII)));
        }

        private void sendResponse(ByteBuffer message) {
            if (isReceiving()) {
                respond(message);
            }
        }
    }

    private static long parseId(String text) {
        try {
            return text == null ? -1 : Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
