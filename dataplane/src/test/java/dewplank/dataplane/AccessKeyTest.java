package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerResponses.reject;
import static dewplank.dataplane.ServerResponses.respondWithKvHandle;
import static dewplank.dataplane.TestConfiguration.MODEL;
import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which requests require an access key, which keys are accepted, and the effects of adding and revoking keys. */
class AccessKeyTest {
    private static final TestRoute[] ROUTES = {
        safeRoute("safe", 3),
        unsafeRoute("once", 3),
        streamingRoute("gen", 3),
        streamingRoute("res", 3).asResumable(),
        safeRoute("open", 3).asPublic()
    };

    private static final String WITHOUT_TENANTS = "";
    private static final String KEY = bearer("k-1");
    private static final String ADDED_KEY = bearer("k-2");

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .tenants(tenantWithKeys("k-1"))
                .routes(ROUTES)
                .start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /** A list of one tenant without a limit and with these keys. */
    private static String tenantWithKeys(String... keys) {
        String list = Arrays.stream(keys).map(key -> "\"" + key + "\"").collect(Collectors.joining(","));
        return "[{\"name\":\"acme\",\"access_keys\":[" + list + "],\"priority\":1,\"rate_per_s\":0,\"burst_size\":0}]";
    }

    private static String bearer(String key) {
        return "Authorization: Bearer " + key + "\r\n";
    }

    private void changeTenants(String json) throws Exception {
        fixture.tenants(json, ROUTES);
    }

    private void revokeAllKeys() throws Exception {
        changeTenants(tenantWithKeys());
    }

    /** Waits until the client receives a response or a server receives a request, whichever is first. */
    private void awaitResponseOrCall(TestPeer client) throws Exception {
        OnLoop.await(fixture.loop, () -> client.hasBytes() || !fixture.servers.calls.isEmpty());
    }

    /** The client's response, before which no server receives a request. */
    private TestPeer.Message responseWithoutCall(TestPeer client) throws Exception {
        awaitResponseOrCall(client);
        assertTrue(fixture.servers.calls.isEmpty(), "a server received the request");
        return client.read();
    }

    private void assertUnauthorized(String target, String fields) throws Exception {
        assertEquals(
                401, responseWithoutCall(fixture.sendRequest(target, fields)).status());
    }

    private void assertAllowed(String target, String fields) throws Exception {
        TestPeer client = fixture.sendRequest(target, fields);
        awaitResponseOrCall(client);
        assertFalse(fixture.servers.calls.isEmpty(), "the request was not forwarded");
        assertServed(fixture.nextCall(), client, "served");
    }

    // ---- accepted keys --------------------------------------------------------------------------------

    @Test
    void aRequestWithATenantsKeyIsServed() throws Exception {
        fixture.servers.plain();
        assertAllowed("/safe/", KEY);
        assertAllowed("/once/", KEY);
        fixture.assertNoOpenRequests();
    }

    @Test
    void everyKeyOfATenantIsAccepted() throws Exception {
        fixture.servers.plain();
        changeTenants(tenantWithKeys("k-1", "k-2"));
        assertAllowed("/safe/", KEY);
        assertAllowed("/safe/", ADDED_KEY);
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"k-2", "k-", "k-10", "K-1", "k-1 k-1", "k-1,k-1", "\"k-1\"", "acme"})
    void anUnknownKeyIsRejectedWith401(String key) throws Exception {
        fixture.servers.plain();
        assertUnauthorized("/safe/", bearer(key));
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/", "/res/"})
    void aRequestWithoutAKeyIsRejectedWith401(String target) throws Exception {
        fixture.servers.plain();
        fixture.servers.prefill();
        fixture.servers.decode();
        assertUnauthorized(target, PROMPT);
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Basic k-1", "k-1", "Bearerk-1", "Bearer", "Bearer ", "Bearer: k-1", ""})
    void anAuthorizationFieldWithoutABearerKeyIsRejectedWith401(String value) throws Exception {
        fixture.servers.plain();
        assertUnauthorized("/safe/", "Authorization: " + value + "\r\n");
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Authorization: bearer k-1", "authorization: BEARER k-1", "AUTHORIZATION: Bearer k-1"})
    void schemeAndFieldNameAreCaseInsensitive(String field) throws Exception {
        fixture.servers.plain();
        assertAllowed("/safe/", field + "\r\n");
        fixture.assertNoOpenRequests();
    }

    /** The choice between two fields would depend on the parser, so such a request counts as having no key. */
    @ParameterizedTest
    @ValueSource(strings = {"k-1", "k-2", ""})
    void aRequestWithTwoAuthorizationFieldsIsRejectedWith401(String second) throws Exception {
        fixture.servers.plain();
        assertUnauthorized("/safe/", KEY + bearer(second));
        assertUnauthorized("/safe/", bearer(second) + KEY);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aClientWithAnUnknownKeyMayRetryWithAnotherKeyOnItsConnection() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/safe/", ADDED_KEY);
        assertEquals(401, responseWithoutCall(client).status());
        client.send(request("/safe/", KEY, "hi"));
        assertServed(fixture.nextCall(), client, "served");
        fixture.assertNoOpenRequests();
    }

    // ---- required keys --------------------------------------------------------------------------------

    @Test
    void aPublicRouteRequiresNoKey() throws Exception {
        fixture.servers.plain();
        assertAllowed("/open/", "");
        assertAllowed("/open/", KEY);
        assertAllowed("/open/", bearer("unknown"));
        fixture.assertNoOpenRequests();
    }

    @Test
    void aTenantWithoutKeysIsServedOnPublicRoutesOnly() throws Exception {
        fixture.servers.plain();
        revokeAllKeys();
        assertUnauthorized("/safe/", KEY);
        assertUnauthorized("/safe/", bearer(""));
        assertUnauthorized("/safe/", "");
        assertAllowed("/open/", "");
        fixture.assertNoOpenRequests();
    }

    /** The removal of the last tenant must not give access without a key. */
    @Test
    void anEmptyListOfTenantsStillRequiresKeys() throws Exception {
        fixture.servers.plain();
        changeTenants("[]");
        assertUnauthorized("/safe/", KEY);
        assertUnauthorized("/safe/", "");
        assertAllowed("/open/", "");
        fixture.assertNoOpenRequests();
    }

    @Test
    void noKeyIsRequiredWithoutTheTenantsField() throws Exception {
        fixture.servers.plain();
        changeTenants(WITHOUT_TENANTS);
        assertAllowed("/safe/", "");
        assertAllowed("/safe/", bearer("unknown"));
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRequestThatWaitedForTheFirstConfigurationRequiresAKey() throws Exception {
        try (ForwarderFixture empty = ForwarderFixture.builder().start()) {
            empty.servers.plain();
            TestPeer client = empty.sendRequest("/safe/");
            OnLoop.await(empty.loop, () -> empty.forwarder.openRequests() == 1);
            empty.tenants(tenantWithKeys("k-1"), ROUTES);
            OnLoop.run(empty.loop, empty.forwarder::onFleetChanged);
            OnLoop.await(empty.loop, () -> client.hasBytes() || !empty.servers.calls.isEmpty());
            assertTrue(empty.servers.calls.isEmpty(), "a server received the request");
            assertEquals(401, client.read().status());
            empty.assertNoOpenRequests();
        }
    }

    // ---- keys that are added and revoked --------------------------------------------------------------

    @Test
    void anAddedKeyIsAcceptedImmediately() throws Exception {
        fixture.servers.plain();
        assertUnauthorized("/safe/", ADDED_KEY);
        changeTenants(tenantWithKeys("k-1", "k-2"));
        assertAllowed("/safe/", ADDED_KEY);
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/", "/res/"})
    void aNewRequestWithARevokedKeyIsRejectedWith401(String target) throws Exception {
        fixture.servers.plain();
        fixture.servers.prefill();
        fixture.servers.decode();
        revokeAllKeys();
        assertUnauthorized(target, KEY + PROMPT);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aPipelinedRequestIsAuthorizedWhenItIsProcessed() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/safe/", KEY);
        Call first = fixture.nextCall();
        client.send(request("/safe/ahead", KEY, ""));
        revokeAllKeys();
        assertServed(first, client, "served");
        assertEquals(401, responseWithoutCall(client).status());
        fixture.assertNoOpenRequests();
    }

    /** A request that was sent to a server is completed: a change of the configuration aborts no response. */
    @Test
    void aRequestInFlightIsServedAfterItsKeyIsRevoked() throws Exception {
        fixture.servers.plain();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/once/", KEY);
        Call call = fixture.nextCall();
        StartedStream stream = StartedStream.start(fixture, "/gen/", KEY + PROMPT);
        revokeAllKeys();
        assertServed(call, client, "served");
        stream.assertRelays(2);
        stream.assertEnds();
        fixture.assertNoOpenRequests();
    }

    // ---- requests that would be retried -----------------------------------------------------------------

    @TestOnSafeAndUnsafeRoutes
    void aRejectedAttemptIsNotRetriedAfterItsKeyIsRevoked(String target) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest(target, KEY);
        Call rejected = fixture.nextCall();
        revokeAllKeys();
        reject(rejected);
        assertRejected(responseWithoutCall(client));
        fixture.assertNoOpenRequests();
    }

    @Test
    void anAttemptThatMayHaveRunFailsWithoutARetryAfterItsKeyIsRevoked() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/safe/", KEY);
        Call broken = fixture.nextCall();
        revokeAllKeys();
        broken.peer().reset();
        assertEquals(502, responseWithoutCall(client).status(), "the attempt may have run");
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRequestIsNotSentIfItsKeyIsRevokedBeforeTheConnectionIsEstablished() throws Exception {
        ScriptedServer late = fixture.servers.add(ScriptedServer.withDelayedAccept(fixture.servers.calls), PLAIN, null);
        TestPeer client = fixture.sendRequest("/safe/", KEY);
        awaitInFlight(PLAIN, late);
        revokeAllKeys();
        late.acceptConnections();
        assertRejected(responseWithoutCall(client));
        fixture.assertNoOpenRequests();
    }

    private void awaitInFlight(String service, ScriptedServer server) throws Exception {
        OnLoop.await(fixture.loop, () -> fixture.metadata.servers(service).stream()
                .anyMatch(s -> s.instanceId().equals(fixture.servers.id(server)) && s.inFlight() == 1));
    }

    @Test
    void aPrefilledRequestIsNotDecodedAfterItsKeyIsRevokedAndItsHandleIsReleased() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", KEY + PROMPT);
        Call prefillCall = fixture.nextCall();
        revokeAllKeys();
        respondWithKvHandle(prefillCall, "h1");
        Call next = fixture.nextCall();
        assertEquals("DELETE /kv-handle/h1 HTTP/1.1", next.message().startLine());
        assertSame(prefill, next.server());
        assertRejected(responseWithoutCall(client));
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRejectedPrefillIsNotRetriedAfterItsKeyIsRevoked() throws Exception {
        fixture.servers.prefillServers(2);
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", KEY + PROMPT);
        Call rejected = fixture.nextCall();
        revokeAllKeys();
        reject(rejected);
        assertRejected(responseWithoutCall(client));
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRejectedDecodeIsNotRetriedAfterItsKeyIsRevoked() throws Exception {
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/gen/", KEY + PROMPT);
        Call rejected = fixture.nextCall();
        revokeAllKeys();
        reject(rejected);
        assertRejected(responseWithoutCall(client));
        fixture.assertNoOpenRequests();
    }

    @Test
    void aDecodeIsNotSentIfItsKeyIsRevokedBeforeTheConnectionIsEstablished() throws Exception {
        ScriptedServer late =
                fixture.servers.add(ScriptedServer.withDelayedAccept(fixture.servers.calls), MODEL, "decode");
        TestPeer client = fixture.sendRequest("/gen/", KEY);
        awaitInFlight(MODEL, late);
        revokeAllKeys();
        late.acceptConnections();
        assertRejected(responseWithoutCall(client));
        fixture.assertNoOpenRequests();
    }

    @Test
    void aBrokenStreamIsNotResumedAfterItsKeyIsRevoked() throws Exception {
        fixture.servers.decodeServers(2);
        StartedStream stream = StartedStream.start(fixture, "/res/", KEY + PROMPT);
        revokeAllKeys();
        stream.server().reset();
        OnLoop.await(fixture.loop, () -> fixture.forwarder.openRequests() == 0 || !fixture.servers.calls.isEmpty());
        assertTrue(fixture.servers.calls.isEmpty(), "a server received the request");
        Expectations.assertAborted(stream.client());
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRetryIsSentIfTheKeyWasReassignedToAnotherTenant() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/", KEY);
        Call rejected = fixture.nextCall();
        changeTenants(tenantWithKeys("k-1").replace("acme", "birch"));
        reject(rejected);
        assertServed(fixture.nextCall(), client, "served");
        fixture.assertNoOpenRequests();
    }
}
