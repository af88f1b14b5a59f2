package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import dewplank.emulator.loopback.HttpEndpoint;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates the platform: serves the endpoint list in pages. The public methods are thread-safe. */
public final class StandInPlatform {
    /** How the platform handles calls. */
    public enum Behaviour {
        ANSWERS,
        UNRESPONSIVE,
        TOO_MANY_CALLS
    }

    private static final int MAX_CONNECTIONS = 64;
    private static final int PAGE_SIZE = 3;
    private static final String PAGE_TOKEN = "page_token=p-";
    private static final int SLOTS = 64;

    private final EventLoop loop;
    private final History history;
    private final Map<String, ServerIdentity> servers = new LinkedHashMap<>();
    private final List<String> draining = new ArrayList<>();
    private final List<Listener> listeners = new ArrayList<>();
    private volatile Behaviour behaviour = Behaviour.ANSWERS;

    StandInPlatform(EventLoop loop, History history) {
        this.loop = loop;
        this.history = history;
    }

    /** Listens at the address that one machine calls. */
    void listenFor(FleetMachine machine) throws IOException {
        Listener listener =
                new Listener(loop, machine.platform(), MAX_CONNECTIONS, () -> new PlatformConnection(machine.node()));
        listeners.add(listener);
        loop.execute(listener::accept);
    }

    /** Changes how later calls are handled. */
    public void behaviour(Behaviour next) {
        behaviour = next;
    }

    /** Adds a server to the list; takes effect with the next call. */
    public synchronized void add(ServerIdentity server) {
        servers.put(server.instanceId(), server);
    }

    /** Marks a server as draining; takes effect with the next call. */
    public synchronized void drain(ServerIdentity server) {
        draining.add(server.instanceId());
        history.add(new FleetEvent.ListedDraining(loop.now(), server));
    }

    /** Removes a server from the list; takes effect with the next call. */
    public synchronized void remove(ServerIdentity server) {
        servers.remove(server.instanceId());
    }

    private synchronized JsonObject page(int from) {
        List<ServerIdentity> all = List.copyOf(servers.values());
        JsonArray instances = new JsonArray();
        all.stream().skip(from).limit(PAGE_SIZE).forEach(server -> instances.add(entry(server)));
        JsonObject page = new JsonObject();
        page.add("instances", instances);
        if (from + PAGE_SIZE < all.size()) {
            page.addProperty("next_token", "p-" + (from + PAGE_SIZE));
        } else {
            page.add("next_token", JsonNull.INSTANCE);
        }
        return page;
    }

    private JsonObject entry(ServerIdentity server) {
        JsonObject entry = new JsonObject();
        entry.addProperty("instance_id", server.instanceId());
        entry.addProperty("service", server.service());
        entry.addProperty("address", server.address());
        entry.addProperty("zone", server.zone());
        entry.addProperty("config_version", "v1");
        entry.addProperty("slot_count", SLOTS);
        entry.addProperty("state", draining.contains(server.instanceId()) ? "draining" : "ready");
        entry.addProperty("cold_remaining_ms", 0);
        if (server.stage() != ServerStage.NONE) {
            entry.addProperty("stage", server.stage().wireName());
        }
        return entry;
    }

    private final class PlatformConnection extends HttpEndpoint {
        private final String node;

        PlatformConnection(String node) {
            this.node = node;
        }

        @Override
        protected void onRequest(RequestParser request) {
            int token = request.target().indexOf(PAGE_TOKEN);
            int from = token < 0 ? 0 : Integer.parseInt(request.target().substring(token + PAGE_TOKEN.length()));
            switch (behaviour) {
                case ANSWERS -> {
                    record(200);
                    respond(MessageWriter.response(200)
                            .header("Content-Type", "application/json")
                            .body(page(from).toString().getBytes(StandardCharsets.UTF_8)));
                }
                case TOO_MANY_CALLS -> {
                    record(429);
                    respond(MessageWriter.response(429).body(new byte[0]));
                }
                case UNRESPONSIVE -> record(0);
                default -> throw new IllegalStateException("unknown behaviour: " + behaviour);
            }
        }

        private void record(int status) {
            history.add(new FleetEvent.EndpointListRequested(loop.now(), node, status));
        }
    }
}
