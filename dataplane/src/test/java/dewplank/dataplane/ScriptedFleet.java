package dewplank.dataplane;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.net.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Scripted servers with a shared queue of calls, and the endpoint list that publishes them to the data plane. */
final class ScriptedFleet implements Closeable {
    static final String ZONE = "z";

    private static final int CAPACITY = 64;

    /** Requests that servers have received and the test has not taken. */
    final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    private final EventLoop loop;
    private final FleetMetadata metadata;
    private final Map<ScriptedServer, String> instances = new HashMap<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private long revision;

    ScriptedFleet(EventLoop loop, FleetMetadata metadata) {
        this.loop = loop;
        this.metadata = metadata;
    }

    /** Adds a server of the plain service. */
    ScriptedServer plain() throws Exception {
        return server(TestConfiguration.PLAIN, null);
    }

    /** Adds a prefill server. */
    ScriptedServer prefill() throws Exception {
        return server(TestConfiguration.MODEL, "prefill");
    }

    /** Adds a decode server. */
    ScriptedServer decode() throws Exception {
        return server(TestConfiguration.MODEL, "decode");
    }

    /** Adds this many servers of the plain service. */
    void plainServers(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            plain();
        }
    }

    /** Adds this many prefill servers. */
    void prefillServers(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            prefill();
        }
    }

    /** Adds this many decode servers. */
    void decodeServers(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            decode();
        }
    }

    ScriptedServer server(String service, String stage) throws Exception {
        return add(new ScriptedServer(calls), service, stage);
    }

    /** Publishes the next endpoint list with the server added. */
    ScriptedServer add(ScriptedServer server, String service, String stage) throws Exception {
        String id = "i-" + endpoints.size();
        instances.put(server, id);
        endpoints.add(endpoint(server, id, service, stage, false));
        publish();
        return server;
    }

    private static Endpoint endpoint(ScriptedServer server, String id, String service, String stage, boolean draining) {
        return new Endpoint(id, service, server.addressText(), ZONE, CAPACITY, draining, 0, stage);
    }

    /** Publishes the next endpoint list with the server marked as draining. */
    void drain(ScriptedServer server) throws Exception {
        endpoints.replaceAll(endpoint -> endpoint.instanceId.equals(id(server))
                ? endpoint(server, endpoint.instanceId, endpoint.service, endpoint.stage, true)
                : endpoint);
        publish();
    }

    /** Publishes the next endpoint list without the server. */
    void remove(ScriptedServer server) throws Exception {
        endpoints.removeIf(endpoint -> endpoint.instanceId.equals(id(server)));
        publish();
    }

    /** Publishes the next endpoint list to the data plane. */
    void publish() throws Exception {
        EndpointList next = new EndpointList(new EndpointListVersion(1, ++revision), new ArrayList<>(endpoints));
        OnLoop.run(loop, () -> metadata.updateServers(next));
    }

    /** The number of servers that were added, including removed ones. */
    int count() {
        return instances.size();
    }

    /** Adds a server of the plain service that refuses connections. */
    ScriptedServer refusingPlain() throws Exception {
        return add(ScriptedServer.refusing(), TestConfiguration.PLAIN, null);
    }

    /** Adds a prefill server that refuses connections. */
    ScriptedServer refusingPrefill() throws Exception {
        return add(ScriptedServer.refusing(), TestConfiguration.MODEL, "prefill");
    }

    /** Adds a decode server that refuses connections. */
    ScriptedServer refusingDecode() throws Exception {
        return add(ScriptedServer.refusing(), TestConfiguration.MODEL, "decode");
    }

    /** The server's instance id in the endpoint list. */
    String id(ScriptedServer server) {
        return instances.get(server);
    }

    /** The next request received by any server. */
    Call next() throws InterruptedException {
        return ScriptedServer.next(calls);
    }

    @Override
    public void close() throws IOException {
        for (ScriptedServer server : instances.keySet()) {
            server.close();
        }
    }
}
