package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.EndpointDirectory;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;

/** Exposes the model's directory on sockets for one sidecar: the full list, and a watch as an open chunked response. */
final class DirectoryEndpoint {
    /** Time without an update after which an empty line is sent to a watch. */
    private static final double KEEP_ALIVE_MS = 2_000;

    private static final int MAX_CONNECTIONS = 1_000;

    private final EmulatedEnvironment environment;
    private final int sidecar;
    private final BiFunction<Integer, Integer, InetSocketAddress> addresses;
    private final Listener listener;

    /** {@code addresses} returns the address at which a sidecar reaches a server, by the numbers of both. */
    DirectoryEndpoint(
            EventLoop loop,
            EmulatedEnvironment environment,
            int sidecar,
            BiFunction<Integer, Integer, InetSocketAddress> addresses)
            throws IOException {
        this.environment = environment;
        this.sidecar = sidecar;
        this.addresses = addresses;
        this.listener = new Listener(loop, Addresses.directory(sidecar), MAX_CONNECTIONS, WatchConnection::new);
        loop.execute(listener::accept);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.address();
    }

    /** Returns a list in the discovery protocol's format: all endpoints if {@code full}, else the changed ones. */
    JsonObject json(long version, boolean full, List<Endpoint> entries) {
        JsonArray servers = new JsonArray();
        for (Endpoint endpoint : entries) {
            JsonObject entry = new JsonObject();
            entry.addProperty("id", endpoint.server());
            entry.addProperty(
                    "addr",
                    Addresses.format(addresses.apply(
                            sidecar,
                            environment.server(endpoint.server()).orElseThrow().number())));
            entry.addProperty("zone", endpoint.zone());
            entry.addProperty("kind", endpoint.kind());
            entry.addProperty("cell", endpoint.cell());
            entry.addProperty("state", state(endpoint.availability()));
            entry.addProperty("weight", endpoint.rating());
            entry.addProperty("started_ms", endpoint.startedAtMs() == null ? 0 : endpoint.startedAtMs());
            servers.add(entry);
        }
        JsonObject list = new JsonObject();
        list.addProperty("version", version);
        list.addProperty("full", full);
        list.add("servers", servers);
        return list;
    }

    private static String state(Availability availability) {
        return switch (availability) {
            case UP -> "active";
            case DRAINING -> "leaving";
            case REMOVED -> "left";
        };
    }

    private final class WatchConnection extends HttpEndpoint implements EndpointDirectory.Watcher {
        private Optional<EndpointDirectory.Watch> watch = Optional.empty();
        private boolean isHeadSent;
        private double lastWriteAtMs;

        @Override
        protected void onRequest(RequestParser request) {
            String target = request.target();
            int indexAt = target.indexOf("index=");
            if (!target.startsWith("/catalog/members")) {
                respond(MessageWriter.response(404).body(new byte[0]));
            } else if (indexAt < 0) {
                respond(MessageWriter.response(environment.directory().isDown() ? 503 : 200)
                        .body(json(
                                        environment.directory().version(),
                                        true,
                                        environment.directory().endpoints())
                                .toString()
                                .getBytes(StandardCharsets.UTF_8)));
            } else {
                watch = Optional.of(environment
                        .directory()
                        .watch(sidecar, parseIndex(target.substring(indexAt + "index=".length())), this));
            }
        }

        private long parseIndex(String text) {
            try {
                return Long.parseLong(text.replaceAll("&.*", ""));
            } catch (NumberFormatException e) {
                return 0; // an invalid index is treated as version 0, for which the watch starts with the full list
            }
        }

        @Override
        public void updated(long version, boolean full, List<Endpoint> entries) {
            writeLine(json(version, full, entries).toString());
        }

        private void writeLine(String text) {
            if (!open()) {
                return;
            }
            if (!isHeadSent) {
                isHeadSent = true;
                write(ByteBuffer.wrap(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
                scheduleKeepAlive();
            }
            lastWriteAtMs = environment.now();
            byte[] line = (text + "\n").getBytes(StandardCharsets.UTF_8);
            byte[] size = (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            write(ByteBuffer.allocate(size.length + line.length + 2)
                    .put(size)
                    .put(line)
                    .put((byte) '\r')
                    .put((byte) '\n')
                    .flip());
        }

        private void scheduleKeepAlive() {
            environment.schedule(KEEP_ALIVE_MS / 4, () -> {
                if (open()) {
                    if (environment.now() - lastWriteAtMs >= KEEP_ALIVE_MS
                            && !environment.directory().isStalled()) {
                        writeLine("");
                    }
                    scheduleKeepAlive();
                }
            });
        }

        @Override
        public void onClosed() {
            watch.ifPresent(EndpointDirectory.Watch::close);
            if (open()) {
                if (!isHeadSent) {
                    write(MessageWriter.response(503).body(new byte[0]));
                }
                close();
            }
        }
    }
}
