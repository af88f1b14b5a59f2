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
    private static final long TIMEOUT_S = 30; // expires only if a test fails
    /**
     * The control plane's address. Nothing else uses it, so no connection of another process can take the chosen ports
     * before the control plane starts.
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
    private static String controlAddress;

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
        controlAddress = CONTROL_HOST + ":" + ports.get(0);
        settings = write("node.json", settings(controlAddress, ports.get(1), ports.get(2), "\"" + folder + "\""));
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

    private static String settings(String address, int firstPort, int lastPort, String directory) {
        return """
            {"node_name":"core-1","ip_address":"127.0.0.2","zone":"z","listen_addresses":{"control":"%s"},
             "internal_port_range":[%d,%d],"seed_nodes":["%s"],"initial_start":true,"loss_counted":true,
             "limits":{"max_file_descriptors":4100,"disk_mb":64},"data_directory":%s,
             "bounds":{"drain_ms":3000,"grace_s":8,"config_apply_ms":2000,"retry_budget_ratio":0.2,"budget_window_s":10,
              "retry_budget_slack":56,"contact_ms":3000},
             "platform_api":{"address":"127.0.0.1:%d","rate_per_s":44}}"""
                .formatted(
                        address,
                        firstPort,
                        lastPort,
                        address,
                        directory,
                        platform.getAddress().getPort());
    }

    private static Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private static CommandResult run(String... args) {
        return CommandResult.of(() -> OperatorMain.run(List.of(args)));
    }

    private static CommandResult fleet(String... args) {
        List<String> all = new ArrayList<>(List.of("fleet"));
        all.addAll(List.of(args));
        all.addAll(List.of("--at", controlAddress));
        return CommandResult.of(() -> OperatorMain.run(all));
    }

    private static String outputOf(CommandResult result) {
        assertEquals(0, result.exitCode(), result.err());
        assertEquals("", errorMessage(result));
        return result.out();
    }

    /** Returns the error message of the command; standard error also contains the log of the control plane. */
    private static String errorMessage(CommandResult result) {
        int start = result.err().indexOf("dewplank: ");
        return start < 0 ? "" : result.err().substring(start);
    }

    private static void assertFailed(int exitCode, String messageStart, CommandResult result) {
        assertEquals(exitCode, result.exitCode(), result.err());
        assertTrue(errorMessage(result).startsWith("dewplank: " + messageStart), result.err());
    }

    private static String configuration(int version, int timeoutMs) {
        return "{\"config_version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host_name\":\"a.example\","
                + "\"path_prefix\":\"/a/\",\"route_type\":\"safe\",\"timeout_ms\":" + timeoutMs
                + ",\"service\":\"s\"}],"
                + "\"services\":[{\"name\":\"s\"}]}";
    }

    /** The commands for a new fleet, in order; each step depends on the previous ones. */
    @Test
    void putsPatchesAndExplainsAConfiguration() throws IOException {
        assertFailed(1, "206 NO_CONFIGURATION", fleet("get"));
        Path first = write("first.json", configuration(5, 900));
        assertTrue(outputOf(fleet("diff", first.toString())).contains("+ routes[r-1] "));
        assertEquals("100 OK by " + controlAddress + "\n", outputOf(fleet("put", first.toString())));
        assertEquals(configuration(5, 900) + "\n", outputOf(fleet("get", "--json")));
        assertTrue(outputOf(fleet("get")).startsWith("configuration 5\n"));
        assertEquals(
                "101 ALREADY_TAKEN by " + controlAddress + "\n", outputOf(fleet("put", first.toString(), "--on", "0")));
        assertEquals("no differences\n", fleet("diff", first.toString()).out());

        Path second = write("second.json", configuration(9, 0));
        assertFailed(1, "205 VERSION_MISMATCH: version 5 is in place", fleet("put", second.toString(), "--on", "4"));
        assertFailed(1, "204 INVALID_CONFIGURATION: routes[r-1].timeout_ms", fleet("put", second.toString()));
        CommandResult json = fleet("put", second.toString(), "--json");
        assertEquals("routes[r-1].timeout_ms", Json.object(json.out()).get("key"));
        assertFailed(1, "204 INVALID_CONFIGURATION: routes[r-1].timeout_ms", fleet("diff", second.toString()));

        Path patch = write(
                "patch.json",
                "{\"config_version\":7,\"upsert\":{\"routes\":["
                        + configuration(7, 800).replaceAll(".*\"routes\":\\[(.*?)\\],.*", "$1") + "]}}");
        assertEquals(
                "~ config_version 5 -> 7\n~ routes[r-1].timeout_ms 900 -> 800\n",
                outputOf(fleet("diff", patch.toString())));
        assertEquals(
                2,
                ((List<?>) Json.object(outputOf(fleet("diff", patch.toString(), "--json")))
                                .get("changes"))
                        .size());
        outputOf(fleet("patch", patch.toString()));
        assertFailed(1, "204 INVALID_CONFIGURATION: config_version: is not above 7", fleet("diff", first.toString()));

        awaitEndpointList();
        assertTrue(outputOf(fleet("explain", "a.example", "/a/b")).contains("i-1"));
        assertTrue(outputOf(fleet("explain", "a.example", "/a/b", "--json")).startsWith("{\"config_version\":7,"));
        assertFailed(1, "208 NO_SUCH_ROUTE", fleet("explain", "a.example", "/b/"));
        addsTenantsAndHidesTheirKeys();
    }

    /** Continues the commands above by adding tenants to the configuration. */
    private static void addsTenantsAndHidesTheirKeys() throws IOException {
        assertTrue(outputOf(fleet("tenants")).startsWith("configuration 7 has no tenants"));
        Path patch = write("tenants.json", TENANTS_PATCH);
        assertKeyIsHidden(fleet("diff", patch.toString()));
        assertKeyIsHidden(fleet("diff", patch.toString(), "--json"));
        assertTrue(outputOf(fleet("diff", patch.toString(), "--show-keys")).contains(ACCESS_KEY));
        outputOf(fleet("patch", patch.toString()));

        assertKeyIsHidden(fleet("get"));
        CommandResult json = fleet("get", "--json");
        assertKeyIsHidden(json);
        assertTrue(outputOf(fleet("get", "--show-keys")).contains(ACCESS_KEY));
        assertTrue(outputOf(fleet("get", "--json", "--show-keys")).contains("[\"" + ACCESS_KEY + "\"]"));
        Path redacted = write("redacted.json", json.out().replace(":8,", ":9,"));
        assertFailed(1, "204 INVALID_CONFIGURATION: tenants[a].access_keys", fleet("put", redacted.toString()));
        assertFailed(1, "204 INVALID_CONFIGURATION: tenants[a].access_keys", fleet("diff", redacted.toString()));

        Path shared = write("shared.json", TENANTS_PATCH.replace(":8,", ":9,").replace("\"a\"", "\"b\""));
        CommandResult rejected = fleet("patch", shared.toString(), "--json");
        assertFailed(1, "204 INVALID_CONFIGURATION: tenants[b].access_keys", rejected);
        assertEquals("SHARED_KEY", Json.object(rejected.out()).get("reason"));
        assertFalse((rejected.out() + rejected.err()).contains(ACCESS_KEY), rejected.err());

        assertTrue(outputOf(fleet("tenants")).contains("a       1     its route's  7.5     0      yes"));
        assertTrue(outputOf(fleet("tenants", "--json")).contains("\"access_key_count\":1"));
        assertTrue(outputOf(fleet("explain", "a.example", "/a/b")).contains("needs the access key of a tenant"));
    }

    private static void assertKeyIsHidden(CommandResult result) {
        assertTrue(outputOf(result).contains(AccessKeyDigest.of(ACCESS_KEY).fingerprint()), result.out());
        assertFalse((result.out() + result.err()).contains(ACCESS_KEY), result.out());
    }

    /** Repeats the command until the control plane has the endpoint list. */
    private static void awaitEndpointList() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        CommandResult result = fleet("servers", "i-1");
        while (result.exitCode() != 0 && System.nanoTime() < deadlineNanos) {
            result = fleet("servers", "i-1");
        }
        assertTrue(outputOf(result).contains("127.0.0.1:9"));
    }

    @Test
    void showsMembersRolesAndStatus() {
        assertTrue(outputOf(fleet("members")).startsWith("as known to core-1"));
        assertTrue(outputOf(fleet("duties")).contains("core-1"));
        assertTrue(outputOf(fleet("status")).contains(controlAddress));
        assertTrue(outputOf(run("fleet", "status", "--settings", settings.toString(), "--json"))
                .contains("\"quorate\""));
        assertTrue(outputOf(fleet("servers", "--service", "other")).startsWith("list "));
        assertFailed(1, "207 NO_SUCH_SERVER", fleet("servers", "no such"));
    }

    @Test
    void aUsageErrorExitsWith2() {
        assertFailed(2, "no control plane is specified", run("fleet", "get"));
        assertFailed(2, "", run("fleet"));
        assertFailed(2, "", run("fleet", "nothing"));
        assertFailed(2, "", fleet("put"));
        assertFailed(2, "", fleet("put", "x", "--on", "five"));
        assertFailed(2, "--on should be", fleet("put", "x", "--on", "-1"));
        assertFailed(2, "--rounds should be", fleet("get", "--rounds", "0"));
        assertFailed(2, "--at: 'x'", run("fleet", "get", "--at", "x"));
        assertFailed(2, "PATH should begin", fleet("explain", "a.example", "a"));
        assertFailed(2, "", run("fleet", "get", "--at", controlAddress, "--settings", "x"));
        assertFailed(2, "", run("check-settings", "a", "b"));
    }

    @Test
    void noReachableControlPlaneExitsWith3() throws IOException {
        try (Socket bound = new Socket()) { // bound without listening: the port stays reserved and refuses connections
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String unusedAddress = "127.0.0.1:" + bound.getLocalPort();
            assertFailed(
                    3, "801 NO_ANSWER: " + unusedAddress, run("fleet", "get", "--at", unusedAddress, "--rounds", "1"));
            assertFailed(3, "801 NO_ANSWER: " + unusedAddress, run("fleet", "status", "--at", unusedAddress));
        }
    }

    @Test
    void anUnreadableFileExitsWith1() {
        assertFailed(1, "602 FILE_UNREADABLE", fleet("put", "no/such/file"));
        assertFailed(1, "602 FILE_UNREADABLE", run("fleet", "get", "--settings", "no/such/file"));
        assertFailed(1, "602 FILE_UNREADABLE", run("check-settings", "no/such/file"));
    }

    @Test
    void checksSettings() throws IOException {
        assertEquals(
                "settings of core-1 can be used: control plane (verb control-plane) for operators at " + controlAddress
                        + ", disk in " + folder + "\n",
                outputOf(run("check-settings", settings.toString())));
        Path noDisk = write("no-disk.json", settings(controlAddress, 1, 2, "null"));
        assertFailed(1, "604 KEY_MISSING: data_directory is missing", run("check-settings", noDisk.toString()));
        Path relay = write(
                "relay.json",
                settings(controlAddress, 1, 2, "null").replace("\"loss_counted\":true", "\"loss_counted\":false"));
        assertEquals(
                "settings of core-1 can be used: relay without a disk (verb control-plane) for operators at "
                        + controlAddress + "\n",
                outputOf(run("check-settings", relay.toString())));
        Path edge = write("edge.json", settings(controlAddress, 1, 2, "null").replace("\"control\":", "\"front\":"));
        assertFailed(
                1, "604 KEY_MISSING: listen_addresses.readiness is missing", run("check-settings", edge.toString()));
        Path both = write(
                "both.json",
                settings(controlAddress, 1, 2, "null")
                        .replace("\"control\":", "\"front\":\"127.0.0.1:1\",\"readiness\":"));
        assertTrue(outputOf(run("check-settings", both.toString())).contains("data plane (verb data-plane)"));
        Path none = write("none.json", settings(controlAddress, 1, 2, "null").replace("\"control\":", "\"other\":"));
        assertFailed(1, "607 NO_ROLE", run("check-settings", none.toString()));
    }

    @Test
    void reportsTheCauseOfAFailedStart() throws Exception {
        Path taken = write("taken.json", settings(controlAddress, 1, 2, "\"" + folder.resolve("other") + "\""));
        Files.createDirectories(folder.resolve("other"));
        assertTrue(startErrorMessage(taken).startsWith("702 ADDRESS_NOT_USABLE: "), startErrorMessage(taken));
        Path disk = write("disk.json", settings(controlAddress, 1, 2, "\"" + settings + "\""));
        assertTrue(startErrorMessage(disk).startsWith("701 DISK_NOT_USABLE: "), startErrorMessage(disk));
    }

    /** A directory at the path of the store's file makes the disk unusable until it is removed. */
    @Test
    void aControlPlaneWithAnUnusableDiskServesWithoutAVoteUntilTheDiskIsUsable() throws Exception {
        List<Integer> ports = freePorts();
        String address = CONTROL_HOST + ":" + ports.get(0);
        Path disk = Files.createDirectories(folder.resolve("refused"));
        Path blockingDirectory = Files.createDirectories(disk.resolve("acceptor.mv"));
        Path file = write("refused.json", settings(address, ports.get(1), ports.get(2), "\"" + disk + "\""));
        ControlPlaneRunner runner =
                new ControlPlaneRunner(NodeSettings.read(file).requireControlPlaneKeys(), Policy.ALL_ENABLED);
        runner.start();
        try {
            String unusable = awaitStatus(address, "\"disk_refused\":true");
            assertTrue(unusable.contains("\"quorate\":false"), unusable);
            Files.delete(blockingDirectory);
            String usable = awaitStatus(address, "\"quorate\":true");
            assertTrue(usable.contains("\"disk_refused\":false"), usable);
        } finally {
            runner.drain();
        }
    }

    /** Waits until the control plane's status contains the text, and returns the status. */
    private static String awaitStatus(String address, String text) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        String status = "";
        while (!status.contains(text)) {
            assertTrue(System.nanoTime() < endNs, "no " + text + ": " + status);
            status = status(address);
        }
        return status;
    }

    /** Returns an empty text if the control plane does not respond. */
    private static String status(String address) {
        try (InputStream body = new URL("http://" + address + "/status").openStream()) {
            return new String(body.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    private static String startErrorMessage(Path file) {
        try {
            new ControlPlaneRunner(NodeSettings.read(file), Policy.ALL_ENABLED);
            return "";
        } catch (Exception e) {
            return StartFailures.of(e).getMessage();
        }
    }
}
