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
 * One model server on sockets, with an address for each sidecar. What the model's server does is done here too: it
 * refuses when its process is dead, and says nothing when its machine has gone. The system still completes connections
 * to a silent one, which no user program can prevent: there a sidecar sees a time-out where on a real network it could
 * not connect.
 */
final class ServerEndpoint {
    private static final int MOST = 20_000;

    private final EventLoop loop;
    private final World world;
    private final Server server;
    private final Map<Long, ClientAttempt> tries;
    private final InetSocketAddress[] addresses;
    private final List<Listener> listeners = new ArrayList<>();
    private final Set<End> ends = new HashSet<>();

    ServerEndpoint(EventLoop loop, World world, Server server, Map<Long, ClientAttempt> tries) throws IOException {
        this.loop = loop;
        this.world = world;
        this.server = server;
        this.tries = tries;
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
            Listener listener = new Listener(loop, addresses[i], MOST, () -> new End(sidecar));
            addresses[i] = (InetSocketAddress) listener.address();
            listeners.add(listener);
            loop.execute(listener::accept);
        }
    }

    /** Its process has ended: new connections are refused, those that it had end. */
    void down() {
        listeners.forEach(Listener::close);
        listeners.clear();
        new ArrayList<>(ends).forEach(End::end);
    }

    /** It has started again. */
    void up() throws IOException {
        new ArrayList<>(ends).forEach(End::end); // those of a machine that went silently
        if (listeners.isEmpty()) {
            listen();
        }
    }

    private final class End extends HttpEndpoint {
        private final int sidecar;
        private final int life = server.incarnation();
        private boolean counted;
        private double readyAt;
        private int busy;
        private int idles;
        private boolean stale;

        End(int sidecar) {
            this.sidecar = sidecar;
        }

        @Override
        protected void opened() {
            ends.add(this);
            readyAt = world.now() + world.scenario().connections().handshakeMs();
            if (server.state() == Server.State.VANISHED) {
                return;
            }
            counted = server.connect();
            if (counted) {
                idle();
            } else {
                end();
            }
        }

        @Override
        protected void ended() {
            ends.remove(this);
            if (counted) {
                server.disconnect(life);
            }
        }

        private void end() {
            close();
            ended();
        }

        @Override
        protected boolean listens() {
            return server.state() != Server.State.VANISHED
                    && life == server.incarnation()
                    && !world.isPartitioned(sidecar, server.number());
        }

        @Override
        protected void request(RequestParser request) {
            double there = world.delay(sidecar, server) + Math.max(0, readyAt - world.now());
            double back = world.delay(sidecar, server);
            String target = request.target();
            if (target.equals("/ping")) {
                boolean up = server.state() == Server.State.UP;
                world.schedule(
                        there + back,
                        () -> reply(MessageWriter.response(up ? 200 : 503).body(new byte[0])));
                return;
            }
            ClientAttempt t = tries.get(id(request.headers().get("X-Trace-Id")));
            request.takeBody();
            if (t == null) {
                reply(MessageWriter.response(400).body("no client sent this\n".getBytes(StandardCharsets.US_ASCII)));
                return;
            }
            if (stale) { // it had closed this one long ago, without a word
                end();
                return;
            }
            busy++;
            world.schedule(there, () -> {
                if (listens() && open() && !world.losesMessage()) {
                    server.offer(t, sidecar, (reply, inFlight) -> world.schedule(back, () -> done(t, reply, inFlight)));
                }
            });
        }

        /** One that stands idle for too long is closed, or forgotten without notice. */
        private void idle() {
            double limit = world.scenario().connections().idleMs();
            int then = ++idles;
            if (limit > 0) {
                world.schedule(limit, () -> {
                    if (then == idles && busy == 0 && open()) {
                        if (world.scenario().connections().closeIsNoticed()) {
                            end();
                        } else {
                            stale = true;
                        }
                    }
                });
            }
        }

        private void done(ClientAttempt t, Server.Reply reply, double inFlight) {
            busy--;
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
            reply(head.body(("made for " + t.id()).getBytes(StandardCharsets.US_ASCII)));
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
