package dewplank;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import dewplank.configuration.AccessKeyDigest;
import dewplank.controlplane.ControlPlaneRunner;
import dewplank.routing.Policy;
import dewplank.settings.Json;
import dewplank.settings.NodeSettings;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' command line against a control plane in this process, on loopback. */
class OperatorMainTest {
    private static final long LIST_TIMEOUT_S = 30; // only a failing test waits so long
    /**
     * The control plane's address. On an address that nothing else uses its ports can't be taken by a connection of
     * another process between their choice and the start.
     */
    private static final String CONTROL_HOST = "127.0.0.2";

    private static final String INSTANCES = "{\"instances\":[{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":"
            + "\"z\",\"slot_count\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"instance_id\":\"i-1\"}],\"next_token\":null}";

    private static final String ACCESS_KEY = "key-of-nobody-else";
    private static final String TENANTS_PATCH = "{\"config_version\":8,\"upsert\":{\"tenants\":[{\"name\":\"a\","
            + "\"access_keys\":[\"" + ACCESS_KEY + "\"],\"rate_per_s\":7.5}]}}";

    @TempDir
    private static Path folder;

    private static HttpServer platform;
    private static ControlPlaneRunner controlPlane;
    private static Path settings;
    private static String control;

    @BeforeAll
    static void start() throws Exception {
        platform = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        platform.createContext("/instances", exchange -> {
            byte[] body = INSTANCES.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        platform.start();
        List<Integer> ports = freePorts();
        control = CONTROL_HOST + ":" + ports.get(0);
        settings = write("node.json", settings(control, ports.get(1), ports.get(2), "\"" + folder + "\""));
        controlPlane =
                new ControlPlaneRunner(NodeSettings.read(settings).requireControlPlaneKeys(), Policy.ALL_ENABLED);
        controlPlane.start();
    }

    @AfterAll
    static void stop() throws InterruptedException {
        controlPlane.drain();
        platform.stop(0);
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(CONTROL_HOST)));
        }
        List<Integer> ports = new ArrayList<>(
                sockets.stream().map(ServerSocket::getLocalPort).sorted().toList());
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static String settings(String at, int firstPort, int lastPort, String directory) {
        return """
            {"node_name":"core-1","ip_address":"127.0.0.2","zone":"z","listen_addresses":{"control":"%s"},
             "internal_port_range":[%d,%d],"seed_nodes":["%s"],"initial_start":true,"loss_counted":true,
             "limits":{"max_file_descriptors":4100,"disk_mb":64},"data_directory":%s,
             "bounds":{"drain_ms":3000,"grace_s":8,"config_apply_ms":2000,"retry_budget_ratio":0.2,"budget_window_s":10,
              "retry_budget_slack":56,"contact_ms":3000},
             "platform_api":{"address":"127.0.0.1:%d","rate_per_s":44}}"""
                .formatted(
                        at,
                        firstPort,
                        lastPort,
                        at,
                        directory,
                        platform.getAddress().getPort());
    }

    private static Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private static Streams run(String... args) {
        return Streams.of(() -> OperatorMain.run(List.of(args)));
    }

    private static Streams fleet(String... args) {
        List<String> all = new ArrayList<>(List.of("fleet"));
        all.addAll(List.of(args));
        all.addAll(List.of("--at", control));
        return Streams.of(() -> OperatorMain.run(all));
    }

    private static String succeeded(Streams streams) {
        assertEquals(0, streams.code(), streams.err());
        assertEquals("", errorMessage(streams));
        return streams.out();
    }

    /** What the command printed on standard error; the control plane of this process logs there too. */
    private static String errorMessage(Streams streams) {
        int start = streams.err().indexOf("dewplank: ");
        return start < 0 ? "" : streams.err().substring(start);
    }

    private static void failed(int code, String beginning, Streams streams) {
        assertEquals(code, streams.code(), streams.err());
        assertTrue(errorMessage(streams).startsWith("dewplank: " + beginning), streams.err());
    }

    private static String configuration(int version, int timeoutMs) {
        return "{\"config_version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host_name\":\"a.example\","
                + "\"path_prefix\":\"/a/\",\"route_type\":\"safe\",\"timeout_ms\":" + timeoutMs
                + ",\"service\":\"s\"}],"
                + "\"services\":[{\"name\":\"s\"}]}";
    }

    /** An operator's first commands in their order: each step builds on those before. */
    @Test
    void putsPatchesAndExplainsAConfiguration() throws IOException {
        failed(1, "206 NO_CONFIGURATION", fleet("get"));
        Path first = write("first.json", configuration(5, 900));
        assertTrue(succeeded(fleet("diff", first.toString())).contains("+ routes[r-1] "));
        assertEquals("100 OK by " + control + "\n", succeeded(fleet("put", first.toString())));
        assertEquals(configuration(5, 900) + "\n", succeeded(fleet("get", "--json")));
        assertTrue(succeeded(fleet("get")).startsWith("configuration 5\n"));
        assertEquals("101 ALREADY_TAKEN by " + control + "\n", succeeded(fleet("put", first.toString(), "--on", "0")));
        assertEquals("no differences\n", fleet("diff", first.toString()).out());

        Path second = write("second.json", configuration(9, 0));
        failed(1, "205 VERSION_MISMATCH: version 5 is in place", fleet("put", second.toString(), "--on", "4"));
        failed(1, "204 INVALID_CONFIGURATION: routes[r-1].timeout_ms", fleet("put", second.toString()));
        Streams json = fleet("put", second.toString(), "--json");
        assertEquals("routes[r-1].timeout_ms", Json.object(json.out()).get("key"));
        failed(1, "204 INVALID_CONFIGURATION: routes[r-1].timeout_ms", fleet("diff", second.toString()));

        Path patch = write(
                "patch.json",
                "{\"config_version\":7,\"upsert\":{\"routes\":["
                        + configuration(7, 800).replaceAll(".*\"routes\":\\[(.*?)\\],.*", "$1") + "]}}");
        assertEquals(
                "~ config_version 5 -> 7\n~ routes[r-1].timeout_ms 900 -> 800\n",
                succeeded(fleet("diff", patch.toString())));
        assertEquals(
                2,
                ((List<?>) Json.object(succeeded(fleet("diff", patch.toString(), "--json")))
                                .get("changes"))
                        .size());
        succeeded(fleet("patch", patch.toString()));
        failed(1, "204 INVALID_CONFIGURATION: config_version: is not above 7", fleet("diff", first.toString()));

        awaitEndpointList();
        assertTrue(succeeded(fleet("explain", "a.example", "/a/b")).contains("i-1"));
        assertTrue(succeeded(fleet("explain", "a.example", "/a/b", "--json")).startsWith("{\"config_version\":7,"));
        failed(1, "208 NO_SUCH_ROUTE", fleet("explain", "a.example", "/b/"));
        showsTenantsWithoutTheirKeys();
    }

    /** The next of those commands: tenants are added to the configuration. */
    private static void showsTenantsWithoutTheirKeys() throws IOException {
        assertTrue(succeeded(fleet("tenants")).startsWith("configuration 7 has no tenants"));
        Path patch = write("tenants.json", TENANTS_PATCH);
        assertHidesTheKey(fleet("diff", patch.toString()));
        assertHidesTheKey(fleet("diff", patch.toString(), "--json"));
        assertTrue(succeeded(fleet("diff", patch.toString(), "--show-keys")).contains(ACCESS_KEY));
        succeeded(fleet("patch", patch.toString()));

        assertHidesTheKey(fleet("get"));
        Streams json = fleet("get", "--json");
        assertHidesTheKey(json);
        assertTrue(succeeded(fleet("get", "--show-keys")).contains(ACCESS_KEY));
        assertTrue(succeeded(fleet("get", "--json", "--show-keys")).contains("[\"" + ACCESS_KEY + "\"]"));
        Path redacted = write("redacted.json", json.out().replace(":8,", ":9,"));
        failed(1, "204 INVALID_CONFIGURATION: tenants[a].access_keys", fleet("put", redacted.toString()));
        failed(1, "204 INVALID_CONFIGURATION: tenants[a].access_keys", fleet("diff", redacted.toString()));

        Path shared = write("shared.json", TENANTS_PATCH.replace(":8,", ":9,").replace("\"a\"", "\"b\""));
        Streams refused = fleet("patch", shared.toString(), "--json");
        failed(1, "204 INVALID_CONFIGURATION: tenants[b].access_keys", refused);
        assertEquals("SHARED_KEY", Json.object(refused.out()).get("reason"));
        assertFalse((refused.out() + refused.err()).contains(ACCESS_KEY), refused.err());

        assertTrue(succeeded(fleet("tenants")).contains("a       1     its route's  7.5     0      yes"));
        assertTrue(succeeded(fleet("tenants", "--json")).contains("\"access_key_count\":1"));
        assertTrue(succeeded(fleet("explain", "a.example", "/a/b")).contains("needs the access key of a tenant"));
    }

    private static void assertHidesTheKey(Streams streams) {
        assertTrue(succeeded(streams).contains(AccessKeyDigest.of(ACCESS_KEY).fingerprint()), streams.out());
        assertFalse((streams.out() + streams.err()).contains(ACCESS_KEY), streams.out());
    }

    /** Repeats the command until the control plane has the endpoint list. */
    private static void awaitEndpointList() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIST_TIMEOUT_S);
        Streams one = fleet("servers", "i-1");
        while (one.code() != 0 && System.nanoTime() < deadlineNanos) {
            one = fleet("servers", "i-1");
        }
        assertTrue(succeeded(one).contains("127.0.0.1:9"));
    }

    @Test
    void showsMembersRolesAndStatus() {
        assertTrue(succeeded(fleet("members")).startsWith("as known to core-1"));
        assertTrue(succeeded(fleet("duties")).contains("core-1"));
        assertTrue(succeeded(fleet("status")).contains(control));
        assertTrue(succeeded(run("fleet", "status", "--settings", settings.toString(), "--json"))
                .contains("\"quorate\""));
        assertTrue(succeeded(fleet("servers", "--service", "other")).startsWith("list "));
        failed(1, "207 NO_SUCH_SERVER", fleet("servers", "no such"));
    }

    @Test
    void anInvalidCommandLineExitsWith2() {
        failed(2, "where control sidecars are", run("fleet", "get"));
        failed(2, "", run("fleet"));
        failed(2, "", run("fleet", "nothing"));
        failed(2, "", fleet("put"));
        failed(2, "", fleet("put", "x", "--on", "five"));
        failed(2, "--on should be", fleet("put", "x", "--on", "-1"));
        failed(2, "--rounds should be", fleet("get", "--rounds", "0"));
        failed(2, "--at: 'x'", run("fleet", "get", "--at", "x"));
        failed(2, "PATH should begin", fleet("explain", "a.example", "a"));
        failed(2, "", run("fleet", "get", "--at", control, "--settings", "x"));
        failed(2, "", run("check-settings", "a", "b"));
    }

    @Test
    void noReachableControlPlaneExitsWith3() throws IOException {
        try (Socket bound = new Socket()) { // nobody listens, and nobody else can: connections are refused
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String nobody = "127.0.0.1:" + bound.getLocalPort();
            failed(3, "801 NO_ANSWER: " + nobody, run("fleet", "get", "--at", nobody, "--rounds", "1"));
            failed(3, "801 NO_ANSWER: " + nobody, run("fleet", "status", "--at", nobody));
        }
    }

    @Test
    void anUnreadableFileExitsWith1() {
        failed(1, "602 FILE_UNREADABLE", fleet("put", "no/such/file"));
        failed(1, "602 FILE_UNREADABLE", run("fleet", "get", "--settings", "no/such/file"));
        failed(1, "602 FILE_UNREADABLE", run("check-settings", "no/such/file"));
    }

    @Test
    void checksSettings() throws IOException {
        assertEquals(
                "settings of core-1 can be used: control plane (verb control-plane) for operators at " + control
                        + ", disk in " + folder + "\n",
                succeeded(run("check-settings", settings.toString())));
        Path noDisk = write("no-disk.json", settings(control, 1, 2, "null"));
        failed(1, "604 KEY_MISSING: data_directory is missing", run("check-settings", noDisk.toString()));
        Path relay = write(
                "relay.json",
                settings(control, 1, 2, "null").replace("\"loss_counted\":true", "\"loss_counted\":false"));
        assertEquals(
                "settings of core-1 can be used: relay without a disk (verb control-plane) for operators at " + control
                        + "\n",
                succeeded(run("check-settings", relay.toString())));
        Path edge = write("edge.json", settings(control, 1, 2, "null").replace("\"control\":", "\"front\":"));
        failed(1, "604 KEY_MISSING: listen_addresses.readiness is missing", run("check-settings", edge.toString()));
        Path both = write(
                "both.json",
                settings(control, 1, 2, "null").replace("\"control\":", "\"front\":\"127.0.0.1:1\",\"readiness\":"));
        assertTrue(succeeded(run("check-settings", both.toString())).contains("data plane (verb data-plane)"));
        Path none = write("none.json", settings(control, 1, 2, "null").replace("\"control\":", "\"other\":"));
        failed(1, "607 NO_ROLE", run("check-settings", none.toString()));
    }

    @Test
    void namesTheCauseOfAFailedStart() throws Exception {
        Path taken = write("taken.json", settings(control, 1, 2, "\"" + folder.resolve("other") + "\""));
        Files.createDirectories(folder.resolve("other"));
        assertTrue(startFault(taken).startsWith("702 ADDRESS_NOT_USABLE: "), startFault(taken));
        Path disk = write("disk.json", settings(control, 1, 2, "\"" + settings + "\""));
        assertTrue(startFault(disk).startsWith("701 DISK_NOT_USABLE: "), startFault(disk));
    }

    /** A directory in the place of the store's file cannot be opened as one, until it is removed. */
    @Test
    void aControlPlaneWhoseDiskCannotBeUsedServesWithoutAVoteAndStartsWithItsDiskLater() throws Exception {
        List<Integer> ports = freePorts();
        String at = CONTROL_HOST + ":" + ports.get(0);
        Path disk = Files.createDirectories(folder.resolve("refused"));
        Path inTheWay = Files.createDirectories(disk.resolve("acceptor.mv"));
        Path file = write("refused.json", settings(at, ports.get(1), ports.get(2), "\"" + disk + "\""));
        ControlPlaneRunner runner =
                new ControlPlaneRunner(NodeSettings.read(file).requireControlPlaneKeys(), Policy.ALL_ENABLED);
        runner.start();
        try {
            String refused = awaitStatus(at, "\"disk_refused\":true");
            assertTrue(refused.contains("\"quorate\":false"), refused);
            Files.delete(inTheWay);
            String usable = awaitStatus(at, "\"quorate\":true");
            assertTrue(usable.contains("\"disk_refused\":false"), usable);
        } finally {
            runner.drain();
        }
    }

    /** The control plane's status once it contains the text. */
    private static String awaitStatus(String at, String text) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIST_TIMEOUT_S);
        String status = "";
        while (!status.contains(text)) {
            assertTrue(System.nanoTime() < endNs, "no " + text + ": " + status);
            status = status(at);
        }
        return status;
    }

    /** Empty while it does not answer. */
    private static String status(String at) {
        try (InputStream answer = new URL("http://" + at + "/status").openStream()) {
            return new String(answer.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException notServing) {
            return "";
        }
    }

    private static String startFault(Path file) {
        try {
            new ControlPlaneRunner(NodeSettings.read(file), Policy.ALL_ENABLED);
            return "";
        } catch (Exception e) {
            return StartFailures.of(e).getMessage();
        }
    }
}
