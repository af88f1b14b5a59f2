package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the operators' interface over loopback, with a register of a single process. */
class OperatorApiTest {
    private static final int MAX_WAIT_S = 20; // reached only if a test fails
    private static final String ROUTE = "{\"name\":\"r-1\",\"host_name\":\"a.example\",\"path_prefix\":\"/a/\","
            + "\"route_type\":\"safe\",\"timeout_ms\":2500,\"service\":\"s\"}";
    private static final String LIMITS = "\"limits\":{\"max_body_bytes\":1000}";

    private final FakeRegister register = new FakeRegister();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final FakeRedirects redirects = new FakeRedirects();
    private EventLoop loop;
    private OperatorApi api;
    private String base;

    @BeforeEach
    void start() throws IOException {
        loop = new EventLoop();
        api = new OperatorApi(register, redirects, new FixedViews());
        Listener listener = new Listener(
                loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16, () -> api.connection(loop));
        base = "http://127.0.0.1:" + ((InetSocketAddress) listener.address()).getPort();
        loop.execute(listener::accept);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** The quorum of this control plane and the addresses of others, as set by the test. */
    private static final class FakeRedirects implements OperatorApi.Redirects {
        private volatile boolean hasQuorum = true;
        private volatile String quorateOperatorAddress;
        private volatile boolean foundersLost;

        @Override
        public boolean hasQuorum() {
            return hasQuorum;
        }

        @Override
        public boolean areFoundersLost() {
            return foundersLost;
        }

        @Override
        public Optional<String> quorateOperatorAddress() {
            return Optional.ofNullable(quorateOperatorAddress);
        }

        @Override
        public List<String> otherOperatorAddresses() {
            return List.of("10.0.0.4:8080", "10.0.0.5:8080");
        }
    }

    private static final class FixedViews implements OperatorApi.Views {
        @Override
        public String members() {
            return "{\"data\":[]}";
        }

        @Override
        public String duties() {
            return "{\"list\":{}}";
        }

        @Override
        public String servers() {
            return "{\"servers\":[]}";
        }

        @Override
        public Optional<String> server(String instanceId) {
            return instanceId.equals("i-1") ? Optional.of("{\"instance_id\":\"i-1\"}") : Optional.empty();
        }

        @Override
        public String status() {
            return "{\"quorate\":true}";
        }

        @Override
        public String dataPlanes() {
            return "{\"data_planes\":[]}";
        }
    }

    private static String configuration(long version) {
        return "{\"config_version\":" + version + ",\"routes\":[" + ROUTE + "],\"services\":[{\"name\":\"s\"}],"
                + LIMITS + "}";
    }

    private HttpRequest request(String method, String path, String ifMatch, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(base + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (ifMatch != null) {
            request.header("If-Match", ifMatch);
        }
        return request.build();
    }

    private HttpResponse<String> call(String method, String path, String ifMatch, String body) {
        try {
            return client.sendAsync(request(method, path, ifMatch, body), HttpResponse.BodyHandlers.ofString())
                    .get(MAX_WAIT_S, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpResponse<String> get(String path) {
        return call("GET", path, null, "");
    }

    /** Checks the status, number and name of the result, and returns the fields of the response. */
    private static Map<String, Object> result(ResultCode code, HttpResponse<String> response) {
        assertEquals(code.status(), response.statusCode(), response.body());
        assertEquals(
                "application/json",
                response.headers().firstValue("Content-Type").orElse(""));
        Map<String, Object> fields = Json.object(response.body());
        assertEquals((long) code.number(), fields.get("code"));
        assertEquals(code.name(), fields.get("result"));
        assertTrue(fields.get("detail") instanceof String);
        return fields;
    }

    @Test
    void acceptsAConfigurationAndReturnsIt() {
        result(ResultCode.NO_CONFIGURATION, get("/configuration"));
        result(ResultCode.OK, call("PUT", "/configuration", "0", configuration(3)));
        HttpResponse<String> read = get("/configuration");
        assertEquals(200, read.statusCode());
        assertEquals(configuration(3), read.body());
    }

    @Test
    void aRetriedChangeIsAppliedOnce() {
        result(ResultCode.OK, call("PUT", "/configuration", "0", configuration(3)));
        result(
                ResultCode.OK,
                call("PATCH", "/configuration", "3", "{\"config_version\":4,\"remove\":{\"routes\":[\"r-1\"]}}"));
        result(ResultCode.ALREADY_TAKEN, call("PUT", "/configuration", "0", configuration(3)));
    }

    @Test
    void reportsTheVersionInForce() {
        result(ResultCode.OK, call("PUT", "/configuration", "\"0\"", configuration(3)));
        Map<String, Object> fields =
                result(ResultCode.VERSION_MISMATCH, call("PUT", "/configuration", "2", configuration(9)));
        assertEquals(3L, fields.get("version"));
    }

    @Test
    void reportsTheInvalidKey() {
        Map<String, Object> fields = result(
                ResultCode.INVALID_CONFIGURATION,
                call("PUT", "/configuration", "0", configuration(3).replace("2500", "0")));
        assertEquals("routes[r-1].timeout_ms", fields.get("key"));
        assertEquals("BAD_TIMEOUT", fields.get("reason"));
        fields = result(ResultCode.INVALID_CONFIGURATION, call("PUT", "/configuration", "0", "{\"config"));
        assertEquals("", fields.get("key"));
        assertEquals("UNREADABLE", fields.get("reason"));
        result(ResultCode.INVALID_CONFIGURATION, call("PUT", "/configuration", "0", ""));
    }

    /** If two tenants have the same key, the response contains the field and the tenant, but no key. */
    @Test
    void theResponseToInvalidTenantsContainsNoKeys() {
        String key = "key-of-two-tenants";
        String tenants = "[{\"name\":\"a\",\"access_keys\":[\"" + key + "\"]},{\"name\":\"b\",\"access_keys\":[\"" + key
                + "\"]}]";
        for (HttpResponse<String> response : List.of(
                call(
                        "PUT",
                        "/configuration",
                        "0",
                        configuration(3).replace("\"services\"", "\"tenants\":" + tenants + ",\"services\"")),
                patchOfTenants(tenants))) {
            Map<String, Object> fields = result(ResultCode.INVALID_CONFIGURATION, response);
            assertEquals("tenants[b].access_keys", fields.get("key"));
            assertEquals("SHARED_KEY", fields.get("reason"));
            assertFalse(response.body().contains(key), response.body());
        }
    }

    private HttpResponse<String> patchOfTenants(String tenants) {
        result(ResultCode.OK, call("PUT", "/configuration", "0", configuration(3)));
        String patch = "{\"config_version\":4,\"upsert\":{\"tenants\":" + tenants + "}}";
        return call("PATCH", "/configuration", "3", patch);
    }

    /** Operators' programs read the configuration back, so the response is complete and includes the keys. */
    @Test
    void theResponseContainsAccessKeysAsTheyWereSent() {
        String tenants = "\"tenants\":[{\"name\":\"a\",\"access_keys\":[\"k-1\"]}],\"services\"";
        String withTenants = configuration(3).replace("\"services\"", tenants);
        result(ResultCode.OK, call("PUT", "/configuration", "0", withTenants));
        assertEquals(withTenants, get("/configuration").body());
    }

    @Test
    void aChangeWithoutIfMatchIsRejected() {
        result(ResultCode.IF_MATCH_MISSING, call("PUT", "/configuration", null, configuration(3)));
        for (String ifMatch : List.of("", "*", "W/3", "-1", "3.5", "99999999999999999999")) {
            result(ResultCode.IF_MATCH_MALFORMED, call("PATCH", "/configuration", ifMatch, configuration(3)));
        }
    }

    @Test
    void reportsThatNoQuorumReplies() {
        register.loseQuorum();
        Map<String, Object> fields = result(ResultCode.NO_QUORUM, call("PUT", "/configuration", "0", configuration(3)));
        assertEquals("2 of 3 acceptors did not reply", fields.get("detail"));
        result(ResultCode.NO_QUORUM, get("/configuration"));
    }

    /**
     * Without a quorum the request is neither confirmed nor rejected, even if it is invalid, and the register is not
     * used.
     */
    @Test
    void withoutAQuorumTheAddressesOfOthersAreReturnedImmediately() {
        redirects.hasQuorum = false;
        String[] bodies = {configuration(3), "{", ""};
        for (String body : bodies) {
            Map<String, Object> fields = result(ResultCode.NOT_CURRENT, call("PUT", "/configuration", "0", body));
            assertEquals(List.of("10.0.0.4:8080", "10.0.0.5:8080"), fields.get("elsewhere"));
            result(ResultCode.NOT_CURRENT, call("PATCH", "/configuration", "7", body));
        }
        result(ResultCode.NOT_CURRENT, call("PUT", "/configuration", null, configuration(3)));
        result(ResultCode.NOT_CURRENT, get("/configuration"));
        assertEquals(List.of(), register.timeouts());
        assertEquals(200, get("/status").statusCode());
    }

    @Test
    void reportsLostFoundersUnlessAnotherControlPlaneHasAQuorum() {
        redirects.hasQuorum = false;
        redirects.foundersLost = true;
        Map<String, Object> fields = result(ResultCode.FOUNDERS_LOST, get("/configuration"));
        assertEquals(List.of("10.0.0.4:8080", "10.0.0.5:8080"), fields.get("elsewhere"));
        result(ResultCode.FOUNDERS_LOST, call("PUT", "/configuration", "0", configuration(3)));
        redirects.quorateOperatorAddress = "10.0.0.4:8080";
        result(ResultCode.ELSEWHERE, get("/configuration"));
        assertEquals(List.of(), register.timeouts());
    }

    @Test
    void redirectsToAControlPlaneWithARecentQuorum() {
        redirects.hasQuorum = false;
        redirects.quorateOperatorAddress = "10.0.0.4:8080";
        HttpResponse<String> response = call("PATCH", "/configuration", "7", "{}");
        result(ResultCode.ELSEWHERE, response);
        assertEquals(
                "http://10.0.0.4:8080/configuration",
                response.headers().firstValue("Location").orElse(""));
        assertEquals(List.of(), register.timeouts());
    }

    @Test
    void respondsBeforeClientsTimeOut() {
        call("PUT", "/configuration", "0", configuration(3));
        call("PUT", "/configuration", "0", configuration(3) + " ".repeat(100_000));
        get("/configuration");
        List<Double> timeouts = register.timeouts();
        assertTrue(timeouts.get(0) < 1_000 && timeouts.get(2) < 1_000, timeouts.toString());
        assertTrue(timeouts.get(1) > 1_000, timeouts.toString());
    }

    @Test
    void returnsTheStateOfTheControlPlaneAsJson() {
        for (String path : List.of(
                "/members", "/duties", "/servers", "/status", "/data-planes", "/status?pretty=1", "/servers/?zone=x")) {
            HttpResponse<String> response = get(path);
            assertEquals(200, response.statusCode(), path);
            Json.object(response.body());
        }
    }

    @Test
    void returnsOneServer() {
        assertEquals("{\"instance_id\":\"i-1\"}", get("/servers/i-1?verbose").body());
        Map<String, Object> fields = result(ResultCode.NO_SUCH_SERVER, get("/servers/i-2"));
        assertEquals("the list of servers has no instance i-2", fields.get("detail"));
    }

    @Test
    void theResponseToAnUnsupportedMethodListsTheAllowedOnes() {
        HttpResponse<String> response = call("DELETE", "/configuration", null, "");
        result(ResultCode.NO_SUCH_METHOD, response);
        assertEquals("GET, PUT, PATCH", response.headers().firstValue("Allow").orElse(""));
        assertEquals(
                "GET",
                call("PUT", "/servers/i-1", "0", "")
                        .headers()
                        .firstValue("Allow")
                        .orElse(""));
    }

    @Test
    void theResponseToAnUnknownPathContainsThePath() {
        for (String path : List.of("/", "/nothing?x=1", "/configuration/x", "/servers/i-1/x", "/%22%5C")) {
            String detail =
                    String.valueOf(result(ResultCode.NO_SUCH_PATH, get(path)).get("detail"));
            assertTrue(detail.startsWith(path), detail);
        }
    }

    @Test
    void requestsInFlightReceiveAResponseWhenDraining() throws Exception {
        register.stopResponding();
        CompletableFuture<HttpResponse<String>> response =
                client.sendAsync(request("GET", "/configuration", null, ""), HttpResponse.BodyHandlers.ofString());
        closeOnceARequestIsInFlight();
        result(ResultCode.ENDING, response.get(MAX_WAIT_S, TimeUnit.SECONDS));
    }

    /** Closes the interface as soon as a request is in flight. */
    private void closeOnceARequestIsInFlight() {
        loop.execute(() -> {
            if (register.timeouts().isEmpty()) {
                closeOnceARequestIsInFlight();
            } else {
                api.close();
                api.abortRequestsInFlight();
            }
        });
    }
}
