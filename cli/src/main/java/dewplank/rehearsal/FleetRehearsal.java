package dewplank.rehearsal;

import dewplank.controlplane.ControlPlaneRunner;
import dewplank.dataplane.DataPlane;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs both programs of the fleet briefly in one process on loopback: puts a configuration, polls an endpoint list, and
 * sends plain requests and generations. The build creates the class-data archive from the classes that this run loads.
 */
public final class FleetRehearsal {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_ATTEMPTS = 200;
    private static final int POLL_INTERVAL_MS = 25;
    private static final int REQUESTS = 20;
    private static final String ATTEMPT_ID = "X-Dewplank-Request-Attempt-Id";
    private static final byte[] EMPTY_BODY = new byte[0];

    private final int[] ports = freePorts(7);
    private final Path directory;

    private FleetRehearsal(Path directory) throws IOException {
        this.directory = directory;
    }

    /** Runs the rehearsal with a new data directory below the given folder. */
    public static void run(Path folder) throws IOException, InterruptedException, StoreException {
        Files.createDirectories(folder);
        new FleetRehearsal(Files.createTempDirectory(folder, "rehearsal")).runPrograms();
    }

    private void runPrograms() throws IOException, InterruptedException, StoreException {
        EventLoop loop = new EventLoop();
        Listener servers = new Listener(
                loop, new InetSocketAddress(HOST, ports[4]), 64, () -> new InboundConnection(loop, new StandIn()));
        loop.execute(servers::accept);
        ControlPlaneRunner control = new ControlPlaneRunner(NodeSettings.parse(settings("core", ports[0], true)));
        control.start();
        DataPlane data = DataPlane.open(NodeSettings.parse(settings("edge", ports[0], false)));
        data.start();
        await(() -> status("PUT", ports[3], "/configuration", configuration()) == 200);
        status("GET", ports[3], "/configuration", null);
        status("GET", ports[3], "/servers", null);
        await(() -> status("GET", ports[2], "/readiness", null) == 200);
        for (int i = 0; i < REQUESTS; i++) {
            requireServed("/plain/" + i);
            requireServed("/generation/" + i);
        }
        status("GET", ports[1], "/nothing/", null);
        data.drain();
        control.drain();
        loop.stop();
    }

    /** Fails if the request is not served: the archive would then only contain the classes of the failure path. */
    private void requireServed(String path) throws IOException {
        int status = status("POST", ports[1], path, "x");
        if (status != 200) {
            throw new IOException("the rehearsal's request " + path + " had status " + status);
        }
    }

    private interface Condition {
        boolean isMet() throws IOException;
    }

    private static void await(Condition condition) throws IOException, InterruptedException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            if (condition.isMet()) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        throw new IOException("the rehearsal did not reach the expected state in time");
    }

    private static int status(String method, int port, String path, String body) throws IOException {
        HttpURLConnection call = (HttpURLConnection) new URL("http", HOST, port, path).openConnection();
        call.setRequestMethod(method);
        call.setRequestProperty("If-Match", "0");
        call.setRequestProperty(ATTEMPT_ID, "0123456789abcdef");
        call.setRequestProperty("X-Dewplank-Remaining-Time-Ms", "2000");
        call.setRequestProperty("X-Dewplank-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        if (body != null) {
            call.setDoOutput(true);
            call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        }
        int status = call.getResponseCode();
        if (status < 400) {
            call.getInputStream().readAllBytes();
        }
        return status;
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private String settings(String machineClass, int internal, boolean control) {
        String listen = control
                ? "\"control\":\"" + HOST + ":" + ports[3] + "\""
                : "\"front\":\"" + HOST + ":" + ports[1] + "\",\"readiness\":\"" + HOST + ":" + ports[2] + "\"";
        return "{\"node_name\":\"rehearsal-" + machineClass + "\",\"ip_address\":\"" + HOST + "\",\"zone\":\"z\","
                + "\"listen_addresses\":{" + listen + "},\"internal_port_range\":[" + internal + "," + (internal + 1)
                + "],"
                + "\"seed_nodes\":[\"" + HOST + ":" + ports[3] + "\"],\"initial_start\":true,\"loss_counted\":true,"
                + "\"limits\":{\"max_file_descriptors\":1024,\"disk_mb\":64},"
                + "\"data_directory\":\"" + directory + "\","
                + "\"bounds\":{\"drain_ms\":3000,\"grace_s\":4,\"config_apply_ms\":2000,\"retry_budget_ratio\":0.2,"
                + "\"budget_window_s\":10,\"retry_budget_slack\":50,\"contact_ms\":3000,\"lease_ms\":3000},"
                + "\"platform_api\":{\"address\":\"" + HOST + ":" + ports[4] + "\",\"rate_per_s\":40}}";
    }

    private static String configuration() {
        String route = "{\"name\":\"%s\",\"host_name\":\"" + HOST + "\",\"path_prefix\":\"/%s/\",\"route_type\":\"%s\","
                + "\"timeout_ms\":2000,\"target_latency_ms\":500,\"priority\":0,\"service\":\"%s\",\"max_attempts\":2,"
                + "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":150}";
        String engine = "{\"slot_count\":64,\"kv_tokens\":1000,\"kv_token_bytes\":100,\"link_mbps\":1000,\"stride\":1,"
                + "\"context_hold_s\":5,\"switch_s\":1,\"models\":[{\"name\":\"m\"}]}";
        return "{\"config_version\":1,\"routes\":[" + String.format(route, "a", "plain", "safe", "plain") + ","
                + String.format(route, "b", "generation", "streaming", "engine") + "],\"services\":["
                + "{\"name\":\"plain\",\"health_path\":\"/health\",\"max_connections\":100,"
                + "\"protocol\":\"h1\",\"tls_mode\":false},"
                + "{\"name\":\"engine\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\","
                + "\"tls_mode\":false,\"engine\":" + engine + "}]}";
    }

    /** Stand-in for the platform and all servers, at one address. */
    private final class StandIn implements InboundConnection.Service {
        @Override
        public void handle(InboundConnection.Request request, InboundConnection caller) {
            String attemptId = request.headers().get(ATTEMPT_ID);
            List<Headers.Field> attemptHeader =
                    attemptId == null ? List.of() : List.of(new Headers.Field(ATTEMPT_ID, attemptId));
            List<Headers.Field> sealed = new ArrayList<>(attemptHeader);
            sealed.add(new Headers.Field("X-Dewplank-Server-Seal", "0"));
            if (request.target().startsWith("/instances")) {
                caller.respond(200, List.of(), list().getBytes(StandardCharsets.UTF_8));
            } else if (request.target().startsWith("/report")) {
                caller.respond(
                        200,
                        List.of(),
                        ("{\"stage\":\"decode\",\"busy\":false,\"queued\":0,"
                                        + "\"active\":0,\"kv_used\":0,\"kv_capacity\":1}")
                                .getBytes(StandardCharsets.UTF_8));
            } else if (request.headers().get("X-Dewplank-Processing-Stage") != null) {
                caller.respond(
                        200,
                        attemptHeader,
                        "{\"context_handle\":\"3fa0\",\"token_count\":1460,\"config_version\":1}"
                                .getBytes(StandardCharsets.UTF_8));
            } else if (request.target().startsWith("/generation/")) {
                caller.startResponse(200, sealed);
                caller.writePart("id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
                caller.endResponse();
            } else {
                caller.respond(200, sealed, EMPTY_BODY);
            }
        }

        private String list() {
            String entry = "{\"instance_id\":\"i-%d\",\"service\":\"%s\",\"address\":\"" + HOST + ":" + ports[4]
                    + "\",\"zone\":\"z\",\"slot_count\":8,\"state\":\"ready\",\"cold_remaining_ms\":0%s}";
            return "{\"instances\":[" + String.format(entry, 1, "plain", "") + ","
                    + String.format(entry, 2, "engine", ",\"stage\":\"prefill\"") + ","
                    + String.format(entry, 3, "engine", ",\"stage\":\"decode\"") + "],\"next_token\":null}";
        }

        @Override
        public void clientDisconnected(InboundConnection caller) {}
    }
}
