package dewplank.emulator.loopback;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Server;
import dewplank.emulator.World;
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
 * One server of the model on sockets, with an address for each sidecar. It refuses connections while the server's
 * process has crashed, and does not respond while its machine has vanished. The operating system still accepts
 * connections to a vanished one, which a user program can't prevent: a sidecar sees a time-out of the response there,
 * where a real network would give a time-out of the connection. On the loop's thread.
 */
final class ServerEndpoint {
    private static final int MAX_CONNECTIONS = 20_000;

    private final EventLoop loop;
    private final World world;
    private final Server server;
    private final Map<Long, ClientAttempt> attempts;
    private final InetSocketAddress[] addresses;
    private final List<Listener> listeners = new ArrayList<>();
    private final Set<ServerConnection> connections = new HashSet<>();

    ServerEndpoint(EventLoop loop, World world, Server server, Map<Long, ClientAttempt> attempts) throws IOException {
        this.loop = loop;
        this.world = world;
        this.server = server;
        this.attempts = attempts;
        this.addresses = new InetSocketAddress[world.scenario().sidecars()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = Addresses.server(i, server.number(), world.servers().size());
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

    /** The process has ended: closes its connections and refuses new ones. */
    void stop() {
        listeners.forEach(Listener::close);
        listeners.clear();
        new ArrayList<>(connections).forEach(ServerConnection::end);
    }

    /** The process has started again: accepts connections. */
    void restart() throws IOException {
        new ArrayList<>(connections).forEach(ServerConnection::end); // left over from a machine that vanished
        if (listeners.isEmpty()) {
            listen();
        }
    }

    /** What a connection is to the model's server; whether it has closed is the {@link HttpEndpoint}'s to say. */
    private enum ConnectionState {
        /** The operating system accepted it; the server has no process, or no place left in its connection table. */
        UNCOUNTED,
        /** It has a place in the server's connection table. */
        COUNTED,
        /** The server closed it when it was idle, and the sidecar had no notice; it still has its place. */
        STALE;

        private boolean canBecome(ConnectionState next) {
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
        protected void opened() {
            connections.add(this);
            readyAtMs = world.now() + world.scenario().connections().handshakeMs();
            if (server.state() == Server.State.VANISHED) {
                return;
            }
            if (server.connect()) {
                become(ConnectionState.COUNTED);
                idle();
            } else {
                end();
            }
        }

        @Override
        protected void ended() {
            boolean isFirstEnd = connections.remove(this); // a reset reply may end what the sidecar has closed
            if (isFirstEnd && state != ConnectionState.UNCOUNTED) {
                server.disconnect(incarnation);
            }
        }

        private void end() {
            close();
            ended();
        }

        @Override
        protected boolean listens() {
            return server.state() != Server.State.VANISHED
                    && incarnation == server.incarnation()
                    && !world.isPartitioned(sidecar, server.number());
        }

        @Override
        protected void request(RequestParser request) {
            double outboundMs = world.delay(sidecar, server) + Math.max(0, readyAtMs - world.now());
            double returnMs = world.delay(sidecar, server);
            String target = request.target();
            if (target.equals("/ping")) {
                boolean isUp = server.state() == Server.State.UP;
                world.schedule(
                        outboundMs + returnMs,
                        () -> reply(MessageWriter.response(isUp ? 200 : 503).body(new byte[0])));
                return;
            }
            ClientAttempt attempt = attempts.get(id(request.headers().get("X-Trace-Id")));
            request.takeBody();
            if (attempt == null) {
                reply(MessageWriter.response(400).body("no client sent this\n".getBytes(StandardCharsets.US_ASCII)));
                return;
            }
            if (state == ConnectionState.STALE) {
                end();
                return;
            }
            requestsInProgress++;
            world.schedule(outboundMs, () -> {
                if (listens() && open() && !world.losesMessage()) {
                    server.offer(
                            attempt,
                            sidecar,
                            (reply, inFlight) -> world.schedule(returnMs, () -> finish(attempt, reply, inFlight)));
                }
            });
        }

        /** Starts an idle period; when it exceeds the limit, the connection closes, or becomes stale without notice. */
        private void idle() {
            double idleTimeoutMs = world.scenario().connections().idleMs();
            int period = ++idlePeriods;
            if (idleTimeoutMs > 0) {
                world.schedule(idleTimeoutMs, () -> {
                    if (period == idlePeriods && requestsInProgress == 0 && open()) {
                        if (world.scenario().connections().closeIsNoticed()) {
                            end();
                        } else {
                            become(ConnectionState.STALE);
                        }
                    }
                });
            }
        }

        private void become(ConnectionState next) {
            if (!state.canBecome(next)) {
                throw new IllegalStateException("a connection of sidecar " + sidecar + " to server " + server.number()
                        + " can't change from " + state + " to " + next);
            }
            state = next;
        }

        private void finish(ClientAttempt attempt, Server.Reply reply, double inFlight) {
            requestsInProgress--;
            idle();
            if (world.losesMessage()) {
                return;
            }
            if (reply == Server.Reply.RESET) {
                end();
                return;
            }
            MessageWriter head =
                    switch (reply) {
                        case OK -> MessageWriter.response(200);
                        case ERROR -> MessageWriter.response(500);
                        default -> MessageWriter.response(503).header("X-Never-Ran", "1");
                    };
            head.header("Endpoint-Load-Metrics", inFlight < 0 ? null : "TEXT rif=" + (long) inFlight);
            reply(head.body(("made for " + attempt.id()).getBytes(StandardCharsets.US_ASCII)));
        }

        private void reply(ByteBuffer message) {
            if (listens()) {
                answer(message);
            }
        }
    }

    private static long id(String text) {
        try {
            return text == null ? -1 : Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
