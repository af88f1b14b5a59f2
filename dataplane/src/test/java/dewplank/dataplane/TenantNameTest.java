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
import static dewplank.dataplane.ServerResponses.reject;
import static dewplank.dataplane.ServerResponses.respondWithKvHandle;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.io.IOException;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A server receives the name of the tenant to which the client's key belongs, as set by the data plane only, and never
 * the key itself (section "Requests" of the operators' protocol; the emulator checks it as rule UNASKED).
 */
class TenantNameTest {
    private static final String ACME = "acme";
    private static final String BIRCH = "birch";
    /** Belongs to {@link #ACME} until it is reassigned to {@link #BIRCH}. */
    private static final String KEY = "Authorization: Bearer k-1\r\n";

    private static final String BIRCH_KEY = "Authorization: Bearer k-2\r\n";
    private static final String BIRCH_NAME_FIELD = "X-Dewplank-Tenant-Name: birch\r\n";

    private static final String TENANTS = "[" + tenant(ACME, "\"k-1\",\"k-3\"") + "," + tenant(BIRCH, "\"k-2\"") + "]";
    private static final String TENANTS_AFTER_REASSIGNMENT =
            "[" + tenant(ACME, "\"k-3\"") + "," + tenant(BIRCH, "\"k-2\",\"k-1\"") + "]";

    private static final TestRoute[] ROUTES = {
        safeRoute("safe", 3),
        safeRoute("open", 3).asPublic(),
        streamingRoute("gen", 3),
        streamingRoute("res", 3).asResumable()
    };

    private ForwarderFixture fixture;

    private static String tenant(String name, String keys) {
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + keys
                + "],\"priority\":1,\"rate_per_s\":0,\"burst_size\":0}";
    }

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .withoutHedging()
                .tenants(TENANTS)
                .routes(ROUTES)
                .start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private static void assertHasTenant(String tenant, Call call) {
        assertEquals(tenant, tenantName(call));
        assertEquals(1, call.message().count(TENANT_NAME));
    }

    /** The rule allows the key's tenant at the time of the request, and the tenant to which it was reassigned. */
    private static void assertHasAnAllowedTenant(Call call) {
        assertTrue(Set.of(ACME, BIRCH).contains(String.valueOf(tenantName(call))), "tenant " + tenantName(call));
        assertEquals(1, call.message().count(TENANT_NAME));
    }

    private static void assertOmitsKey(Call call) {
        assertEquals(0, call.message().count(AUTHORIZATION));
        assertTrue(call.message().fields().stream().noneMatch(field -> field.contains("k-1")));
    }

    /** Serves a request on a plain route and returns its only call to a server. */
    private Call serve(String target, String fields) throws Exception {
        TestPeer client = fixture.sendRequest(target, fields);
        Call call = fixture.nextCall();
        assertServed(call, client, "");
        fixture.assertNoOpenRequests();
        return call;
    }

    /** The calls to servers for one generation request. */
    private record Generation(Call prefill, Call decode) {}

    /** Serves a generation request; checks that there are no further calls. */
    private Generation serveGeneration(String fields, Change betweenCalls) throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT + fields);
        Call prefill = fixture.nextCall();
        assertEquals("prefill", stage(prefill));
        betweenCalls.apply();
        respondWithKvHandle(prefill, "h");
        Call decode = fixture.nextCall();
        assertNull(stage(decode));
        assertStreamed(decode, client, 1);
        fixture.assertNoOpenRequests();
        return new Generation(prefill, decode);
    }

    /** A change that is made while a request is served. */
    private interface Change {
        void apply() throws Exception;
    }

    private void reassignKey() throws Exception {
        fixture.tenants(TENANTS_AFTER_REASSIGNMENT, ROUTES);
    }

    // ---- plain routes --------------------------------------------------------------------------------

    @Test
    void aServerReceivesTheNameOfTheKeysTenant() throws Exception {
        fixture.servers.plain();
        assertHasTenant(ACME, serve("/safe/", KEY));
        assertHasTenant(BIRCH, serve("/safe/", BIRCH_KEY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                BIRCH_NAME_FIELD,
                "x-dewplank-tenant-name: birch\r\n",
                BIRCH_NAME_FIELD + BIRCH_NAME_FIELD,
                "X-Dewplank-Tenant-Name: acme\r\n" + BIRCH_NAME_FIELD,
                "X-Dewplank-Tenant-Name:\r\n",
                BIRCH_NAME_FIELD + "Connection: X-Dewplank-Tenant-Name\r\n"
            })
    void aTenantNameFromTheClientIsReplaced(String fields) throws Exception {
        fixture.servers.plain();
        assertHasTenant(ACME, serve("/safe/", KEY + fields));
    }

    @ParameterizedTest
    @ValueSource(strings = {KEY, "authorization: Bearer k-1\r\n", "AUTHORIZATION:   Bearer k-1  \r\n"})
    void aServerDoesNotReceiveTheKey(String key) throws Exception {
        fixture.servers.plain();
        assertOmitsKey(serve("/safe/", key));
    }

    // ---- public routes -------------------------------------------------------------------------------

    @Test
    void aTenantNameFromTheClientIsRemovedOnAPublicRoute() throws Exception {
        fixture.servers.plain();
        assertEquals(0, serve("/open/", BIRCH_NAME_FIELD).message().count(TENANT_NAME));
    }

    @Test
    void aServerDoesNotReceiveTheKeyOnAPublicRoute() throws Exception {
        fixture.servers.plain();
        assertOmitsKey(serve("/open/", KEY));
    }

    @Test
    void aServerDoesNotReceiveAnotherTenantsNameOnAPublicRoute() throws Exception {
        fixture.servers.plain();
        assertNotEquals(BIRCH, tenantName(serve("/open/", KEY + BIRCH_NAME_FIELD)));
    }

    // ---- reassigned keys -----------------------------------------------------------------------------

    @Test
    void aRequestHasTheTenantToWhichItsKeyWasReassigned() throws Exception {
        fixture.servers.plain();
        reassignKey();
        assertHasTenant(BIRCH, serve("/safe/", KEY));
    }

    @Test
    void aRetryAfterAReassignmentOfItsKeyHasAnAllowedTenant() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/safe/", KEY);
        Call rejected = fixture.nextCall();
        reassignKey();
        reject(rejected);
        Call retry = fixture.nextCall();
        assertServed(retry, client, "");
        assertHasAnAllowedTenant(retry);
        assertOmitsKey(retry);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aDecodeAfterAReassignmentOfItsKeyHasAnAllowedTenant() throws Exception {
        Call decode = serveGeneration(KEY, this::reassignKey).decode();
        assertHasAnAllowedTenant(decode);
        assertOmitsKey(decode);
    }

    // ---- generations ---------------------------------------------------------------------------------

    @Test
    void aPrefillHasTheTenantAndOmitsTheKey() throws Exception {
        Call prefill = serveGeneration(KEY + BIRCH_NAME_FIELD, () -> {}).prefill();
        assertHasTenant(ACME, prefill);
        assertOmitsKey(prefill);
    }

    @Test
    void aDecodeHasTheTenantAndOmitsTheKey() throws Exception {
        Call decode = serveGeneration(KEY + BIRCH_NAME_FIELD, () -> {}).decode();
        assertHasTenant(ACME, decode);
        assertOmitsKey(decode);
    }

    @Test
    void aResumedStreamHasTheTenantAndOmitsTheKey() throws Exception {
        fixture.servers.decodeServers(2);
        StartedStream stream = StartedStream.start(fixture, "/res/", KEY + BIRCH_NAME_FIELD);
        stream.server().close();
        Call resumption = fixture.nextCall();
        assertEquals("1", lastEventId(resumption));
        assertResumed(resumption, stream.client(), 2);
        assertHasTenant(ACME, resumption);
        assertOmitsKey(resumption);
        fixture.assertNoOpenRequests();
    }
}
