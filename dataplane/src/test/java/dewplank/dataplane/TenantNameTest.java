package dewplank.dataplane;

import static dewplank.dataplane.CallFields.AUTHORIZATION;
import static dewplank.dataplane.CallFields.TENANT_NAME;
import static dewplank.dataplane.CallFields.lastEventId;
import static dewplank.dataplane.CallFields.stage;
import static dewplank.dataplane.CallFields.tenantName;
import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.Expectations.assertResumed;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.Expectations.assertStreamed;
import static dewplank.dataplane.ServerAnswers.handOver;
import static dewplank.dataplane.ServerAnswers.reject;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.Wire;
import java.io.IOException;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A server gets the name of the tenant that holds the client's key, by the data plane's word alone, and never the key
 * (PROTOCOL, Requests; rule UNASKED).
 */
class TenantNameTest {
    private static final String ACME = "acme";
    private static final String BIRCH = "birch";
    /** Held by {@link #ACME} until it is passed on to {@link #BIRCH}. */
    private static final String KEY = "Authorization: Bearer k-1\r\n";

    private static final String BIRCH_KEY = "Authorization: Bearer k-2\r\n";
    private static final String CLAIMS_BIRCH = "X-Dewplank-Tenant-Name: birch\r\n";

    private static final String TENANTS = "[" + tenant(ACME, "\"k-1\",\"k-3\"") + "," + tenant(BIRCH, "\"k-2\"") + "]";
    private static final String TENANTS_WITH_KEY_PASSED_ON =
            "[" + tenant(ACME, "\"k-3\"") + "," + tenant(BIRCH, "\"k-2\",\"k-1\"") + "]";

    private static final TestRoute[] ROUTES = {
        safeRoute("safe", 3),
        safeRoute("open", 3).asPublic(),
        streamingRoute("gen", 3),
        streamingRoute("res", 3).asResumable()
    };

    private ForwarderFixture net;

    private static String tenant(String name, String keys) {
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + keys
                + "],\"priority\":1,\"rate_per_s\":0,\"burst_size\":0}";
    }

    @BeforeEach
    void begin() throws Exception {
        net = ForwarderFixture.builder()
                .withoutHedging()
                .tenants(TENANTS)
                .routes(ROUTES)
                .start();
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    private static void assertBearsTenant(String tenant, Call call) {
        assertEquals(tenant, tenantName(call));
        assertEquals(1, call.message().count(TENANT_NAME));
    }

    /** The rule allows the tenant that held the key when the request was sent, and the one it was passed on to. */
    private static void assertBearsAHolderOfTheKey(Call call) {
        assertTrue(Set.of(ACME, BIRCH).contains(String.valueOf(tenantName(call))), "tenant " + tenantName(call));
        assertEquals(1, call.message().count(TENANT_NAME));
    }

    private static void assertHidesKey(Call call) {
        assertEquals(0, call.message().count(AUTHORIZATION));
        assertTrue(call.message().fields().stream().noneMatch(field -> field.contains("k-1")));
    }

    /** The call by which a request on a plain route was served, and no other came. */
    private Call serve(String target, String fields) throws Exception {
        Wire client = net.sendRequest(target, fields);
        Call call = net.nextCall();
        assertServed(call, client, "");
        net.assertQuiet();
        return call;
    }

    /** The calls by which a generation was served. */
    private record Generation(Call prefill, Call decode) {}

    /** A generation that was served, and no other call came. */
    private Generation serveGeneration(String fields, Change betweenCalls) throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT + fields);
        Call prefill = net.nextCall();
        assertEquals("prefill", stage(prefill));
        betweenCalls.make();
        handOver(prefill, "h");
        Call decode = net.nextCall();
        assertNull(stage(decode));
        assertStreamed(decode, client, 1);
        net.assertQuiet();
        return new Generation(prefill, decode);
    }

    /** What changes while a request is served. */
    private interface Change {
        void make() throws Exception;
    }

    private void passKeyOn() throws Exception {
        net.tenants(TENANTS_WITH_KEY_PASSED_ON, ROUTES);
    }

    // ---- plain routes --------------------------------------------------------------------------------

    @Test
    void aServerGetsTheNameOfTheTenantThatHoldsTheKey() throws Exception {
        net.servers.plain();
        assertBearsTenant(ACME, serve("/safe/", KEY));
        assertBearsTenant(BIRCH, serve("/safe/", BIRCH_KEY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                CLAIMS_BIRCH,
                "x-dewplank-tenant-name: birch\r\n",
                CLAIMS_BIRCH + CLAIMS_BIRCH,
                "X-Dewplank-Tenant-Name: acme\r\n" + CLAIMS_BIRCH,
                "X-Dewplank-Tenant-Name:\r\n",
                CLAIMS_BIRCH + "Connection: X-Dewplank-Tenant-Name\r\n"
            })
    void aClientsOwnTenantNameIsReplaced(String fields) throws Exception {
        net.servers.plain();
        assertBearsTenant(ACME, serve("/safe/", KEY + fields));
    }

    @ParameterizedTest
    @ValueSource(strings = {KEY, "authorization: Bearer k-1\r\n", "AUTHORIZATION:   Bearer k-1  \r\n"})
    void aServerDoesNotGetTheKey(String key) throws Exception {
        net.servers.plain();
        assertHidesKey(serve("/safe/", key));
    }

    // ---- public routes -------------------------------------------------------------------------------

    @Test
    void onAPublicRouteAClientsOwnTenantNameIsDropped() throws Exception {
        net.servers.plain();
        assertEquals(0, serve("/open/", CLAIMS_BIRCH).message().count(TENANT_NAME));
    }

    @Test
    void onAPublicRouteAServerDoesNotGetTheKey() throws Exception {
        net.servers.plain();
        assertHidesKey(serve("/open/", KEY));
    }

    @Test
    void onAPublicRouteAServerDoesNotGetTheNameOfATenantWithoutTheKey() throws Exception {
        net.servers.plain();
        assertNotEquals(BIRCH, tenantName(serve("/open/", KEY + CLAIMS_BIRCH)));
    }

    // ---- keys that are passed on ---------------------------------------------------------------------

    @Test
    void aRequestBearsTheTenantToWhichItsKeyWasPassedOn() throws Exception {
        net.servers.plain();
        passKeyOn();
        assertBearsTenant(BIRCH, serve("/safe/", KEY));
    }

    @Test
    void aRetryBearsAHolderOfAKeyThatWasPassedOnSinceTheFirstAttempt() throws Exception {
        net.servers.plainServers(2);
        Wire client = net.sendRequest("/safe/", KEY);
        Call full = net.nextCall();
        passKeyOn();
        reject(full);
        Call retry = net.nextCall();
        assertServed(retry, client, "");
        assertBearsAHolderOfTheKey(retry);
        assertHidesKey(retry);
        net.assertQuiet();
    }

    @Test
    void aDecodeBearsAHolderOfAKeyThatWasPassedOnSinceThePrefill() throws Exception {
        Call decode = serveGeneration(KEY, this::passKeyOn).decode();
        assertBearsAHolderOfTheKey(decode);
        assertHidesKey(decode);
    }

    // ---- generations ---------------------------------------------------------------------------------

    @Test
    void aPrefillBearsTheTenantAndHidesTheKey() throws Exception {
        Call prefill = serveGeneration(KEY + CLAIMS_BIRCH, () -> {}).prefill();
        assertBearsTenant(ACME, prefill);
        assertHidesKey(prefill);
    }

    @Test
    void aDecodeBearsTheTenantAndHidesTheKey() throws Exception {
        Call decode = serveGeneration(KEY + CLAIMS_BIRCH, () -> {}).decode();
        assertBearsTenant(ACME, decode);
        assertHidesKey(decode);
    }

    @Test
    void aResumedStreamBearsTheTenantAndHidesTheKey() throws Exception {
        net.servers.decodeServers(2);
        BegunStream stream = BegunStream.begin(net, "/res/", KEY + CLAIMS_BIRCH);
        stream.server().close();
        Call resumption = net.nextCall();
        assertEquals("1", lastEventId(resumption));
        assertResumed(resumption, stream.client(), 2);
        assertBearsTenant(ACME, resumption);
        assertHidesKey(resumption);
        net.assertQuiet();
    }
}
