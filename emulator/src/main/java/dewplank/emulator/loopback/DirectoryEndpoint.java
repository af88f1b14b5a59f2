package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.EndpointDirectory;
import dewplank.emulator.World;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiFunction;

/** The model's directory on sockets, for one sidecar: the whole list, and the watch as an endless chunked answer. */
final class DirectoryEndpoint {
    private static final double QUIET_MS = 2_000;
    private static final int MOST = 1_000;

    private final World world;
    private final int sidecar;
    private final BiFunction<Integer, Integer, InetSocketAddress> addresses;
    private final Listener listener;

    /** {@code addresses}: where a sidecar reaches a server, by their numbers. */
    DirectoryEndpoint(
            EventLoop loop, World world, int sidecar, BiFunction<Integer, Integer, InetSocketAddress> addresses)
            throws IOException {
        this.world = world;
        this.sidecar = sidecar;
        this.addresses = addresses;
        this.listener = new Listener(loop, Addresses.directory(sidecar), MOST, End::new);
        loop.execute(listener::accept);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.address();
    }

    /** A list as the protocol has it. */
    JsonObject json(long version, boolean full, List<Endpoint> entries) {
        JsonArray servers = new JsonArray();
        for (Endpoint e : entries) {
            JsonObject entry = new JsonObject();
            entry.addProperty("id", e.server());
            entry.addProperty(
                    "addr",
                    Addresses.text(
                            addresses.apply(sidecar, world.server(e.server()).number())));
            entry.addProperty("zone", e.zone());
            entry.addProperty("kind", e.kind());
            entry.addProperty("cell", e.cell());
            entry.addProperty(
                    "state",
                    e.availability() == Availability.UP
                            ? "active"
                            : e.availability() == Availability.DRAINING ? "leaving" : "left");
            entry.addProperty("weight", e.rating());
            entry.addProperty("started_ms", e.startedAtMs() == null ? 0 : e.startedAtMs());
            servers.add(entry);
        }
        JsonObject list = new JsonObject();
        list.addProperty("version", version);
        list.addProperty("full", full);
        list.add("servers", servers);
        return list;
    }

    private final class End extends HttpEndpoint implements EndpointDirectory.Watcher {
        private EndpointDirectory.Watch watch;
        private boolean begun;
        private double saidAt;

        @Override
        protected void request(RequestParser request) {
            String target = request.target();
            int at = target.indexOf("index=");
            if (!target.startsWith("/catalog/members")) {
                answer(MessageWriter.response(404).body(new byte[0]));
            } else if (at < 0) {
                answer(MessageWriter.response(world.directory().isDown() ? 503 : 200)
                        .body(json(
                                        world.directory().version(),
                                        true,
                                        world.directory().endpoints())
                                .toString()
                                .getBytes(StandardCharsets.UTF_8)));
            } else {
                watch = world.directory().watch(sidecar, index(target.substring(at + "index=".length())), this);
            }
        }

        private long index(String text) {
            try {
                return Long.parseLong(text.replaceAll("&.*", ""));
            } catch (NumberFormatException e) {
                return 0; // knows nothing: gets all
            }
        }

        @Override
        public void updated(long version, boolean full, List<Endpoint> entries) {
            line(json(version, full, entries).toString());
        }

        private void line(String text) {
            if (!open()) {
                return;
            }
            if (!begun) {
                begun = true;
                write(ByteBuffer.wrap(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
                quiet();
            }
            saidAt = world.now();
            byte[] line = (text + "\n").getBytes(StandardCharsets.UTF_8);
            byte[] size = (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            write(ByteBuffer.allocate(size.length + line.length + 2)
                    .put(size)
                    .put(line)
                    .put((byte) '\r')
                    .put((byte) '\n')
                    .flip());
        }

        private void quiet() {
            world.schedule(QUIET_MS / 4, () -> {
                if (open()) {
                    if (world.now() - saidAt >= QUIET_MS && !world.directory().isStalled()) {
                        line("");
                    }
                    quiet();
                }
            });
        }

        @Override
        public void ended() {
            if (watch != null) {
                watch.close();
            }
            if (open()) {
                if (!begun) {
                    write(MessageWriter.response(503).body(new byte[0]));
                }
                close();
            }
        }
    }
}
