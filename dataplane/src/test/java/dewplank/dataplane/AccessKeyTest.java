package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerAnswers.handOver;
import static dewplank.dataplane.ServerAnswers.reject;
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
import dewplank.exchange.Wire;
import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which requests need an access key, which keys are served, and what follows when a key is added or taken away. */
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

    private ForwarderFixture net;

    @BeforeEach
    void begin() throws Exception {
        net = ForwarderFixture.builder()
                .tenants(tenantWithKeys("k-1"))
                .routes(ROUTES)
                .start();
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    /** A list of one tenant without a limit, which has these keys. */
    private static String tenantWithKeys(String... keys) {
        String list = Arrays.stream(keys).map(key -> "\"" + key + "\"").collect(Collectors.joining(","));
        return "[{\"name\":\"acme\",\"access_keys\":[" + list + "],\"priority\":1,\"rate_per_s\":0,\"burst_size\":0}]";
    }

    private static String bearer(String key) {
        return "Authorization: Bearer " + key + "\r\n";
    }

    private void changeTenants(String json) throws Exception {
        net.tenants(json, ROUTES);
    }

    private void takeAllKeysAway() throws Exception {
        changeTenants(tenantWithKeys());
    }

    /** Waits until the client is answered or a server gets a request, whichever is first. */
    private void awaitAnswerOrCall(Wire client) throws Exception {
        OnLoop.await(net.loop, () -> client.hasBytes() || !net.servers.calls.isEmpty());
    }

    /** The client's answer, before which no server gets a request. */
    private Wire.Message answerWithoutCall(Wire client) throws Exception {
        awaitAnswerOrCall(client);
        assertTrue(net.servers.calls.isEmpty(), "a server got the request");
        return client.read();
    }

    private void assertUnauthorized(String target, String fields) throws Exception {
        assertEquals(401, answerWithoutCall(net.sendRequest(target, fields)).status());
    }

    private void assertAllowed(String target, String fields) throws Exception {
        Wire client = net.sendRequest(target, fields);
        awaitAnswerOrCall(client);
        assertFalse(net.servers.calls.isEmpty(), "the request was not passed on");
        assertServed(net.nextCall(), client, "served");
    }

    // ---- which keys are served ------------------------------------------------------------------------

    @Test
    void aRequestWithATenantsKeyIsServed() throws Exception {
        net.servers.plain();
        assertAllowed("/safe/", KEY);
        assertAllowed("/once/", KEY);
        net.assertQuiet();
    }

    @Test
    void everyKeyOfATenantIsServed() throws Exception {
        net.servers.plain();
        changeTenants(tenantWithKeys("k-1", "k-2"));
        assertAllowed("/safe/", KEY);
        assertAllowed("/safe/", ADDED_KEY);
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"k-2", "k-", "k-10", "K-1", "k-1 k-1", "k-1,k-1", "\"k-1\"", "acme"})
    void anUnknownKeyIsAnswered401(String key) throws Exception {
        net.servers.plain();
        assertUnauthorized("/safe/", bearer(key));
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/", "/res/"})
    void aRequestWithoutAKeyIsAnswered401(String target) throws Exception {
        net.servers.plain();
        net.servers.prefill();
        net.servers.decode();
        assertUnauthorized(target, PROMPT);
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Basic k-1", "k-1", "Bearerk-1", "Bearer", "Bearer ", "Bearer: k-1", ""})
    void aFieldWithoutABearersKeyIsAnswered401(String value) throws Exception {
        net.servers.plain();
        assertUnauthorized("/safe/", "Authorization: " + value + "\r\n");
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Authorization: bearer k-1", "authorization: BEARER k-1", "AUTHORIZATION: Bearer k-1"})
    void theCaseOfTheSchemeAndOfTheFieldsNameDoesNotMatter(String field) throws Exception {
        net.servers.plain();
        assertAllowed("/safe/", field + "\r\n");
        net.assertQuiet();
    }

    /** Which of the two a reader takes depends on the reader: such a request has no key. */
    @ParameterizedTest
    @ValueSource(strings = {"k-1", "k-2", ""})
    void aRequestWithTwoAuthorizationFieldsIsAnswered401(String second) throws Exception {
        net.servers.plain();
        assertUnauthorized("/safe/", KEY + bearer(second));
        assertUnauthorized("/safe/", bearer(second) + KEY);
        net.assertQuiet();
    }

    @Test
    void aClientWithAnUnknownKeyMayRetryOnItsConnectionWithAnother() throws Exception {
        net.servers.plain();
        Wire client = net.sendRequest("/safe/", ADDED_KEY);
        assertEquals(401, answerWithoutCall(client).status());
        client.send(request("/safe/", KEY, "hi"));
        assertServed(net.nextCall(), client, "served");
        net.assertQuiet();
    }

    // ---- where a key is needed ------------------------------------------------------------------------

    @Test
    void aPublicRouteNeedsNoKey() throws Exception {
        net.servers.plain();
        assertAllowed("/open/", "");
        assertAllowed("/open/", KEY);
        assertAllowed("/open/", bearer("unknown"));
        net.assertQuiet();
    }

    @Test
    void aTenantWithoutKeysIsServedNowhereButOnPublicRoutes() throws Exception {
        net.servers.plain();
        takeAllKeysAway();
        assertUnauthorized("/safe/", KEY);
        assertUnauthorized("/safe/", bearer(""));
        assertUnauthorized("/safe/", "");
        assertAllowed("/open/", "");
        net.assertQuiet();
    }

    /** So the removal of the last tenant opens nothing. */
    @Test
    void anEmptyListOfTenantsStillRequiresKeys() throws Exception {
        net.servers.plain();
        changeTenants("[]");
        assertUnauthorized("/safe/", KEY);
        assertUnauthorized("/safe/", "");
        assertAllowed("/open/", "");
        net.assertQuiet();
    }

    @Test
    void withoutTheFieldTenantsNoKeyIsNeeded() throws Exception {
        net.servers.plain();
        changeTenants(WITHOUT_TENANTS);
        assertAllowed("/safe/", "");
        assertAllowed("/safe/", bearer("unknown"));
        net.assertQuiet();
    }

    @Test
    void aRequestThatWaitedForTheFirstConfigurationNeedsAKey() throws Exception {
        try (ForwarderFixture empty = ForwarderFixture.builder().start()) {
            empty.servers.plain();
            Wire client = empty.sendRequest("/safe/");
            OnLoop.await(empty.loop, () -> empty.forwarder.openRequests() == 1);
            empty.tenants(tenantWithKeys("k-1"), ROUTES);
            OnLoop.run(empty.loop, empty.forwarder::onFleetChanged);
            OnLoop.await(empty.loop, () -> client.hasBytes() || !empty.servers.calls.isEmpty());
            assertTrue(empty.servers.calls.isEmpty(), "a server got the request");
            assertEquals(401, client.read().status());
            empty.assertQuiet();
        }
    }

    // ---- keys that are added and taken away -----------------------------------------------------------

    @Test
    void anAddedKeyIsServedAtOnce() throws Exception {
        net.servers.plain();
        assertUnauthorized("/safe/", ADDED_KEY);
        changeTenants(tenantWithKeys("k-1", "k-2"));
        assertAllowed("/safe/", ADDED_KEY);
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/", "/once/", "/gen/", "/res/"})
    void aNewRequestWithAKeyThatWasTakenAwayIsAnswered401(String target) throws Exception {
        net.servers.plain();
        net.servers.prefill();
        net.servers.decode();
        takeAllKeysAway();
        assertUnauthorized(target, KEY + PROMPT);
        net.assertQuiet();
    }

    @Test
    void aRequestSentAheadIsDecidedWhenItsTurnComes() throws Exception {
        net.servers.plain();
        Wire client = net.sendRequest("/safe/", KEY);
        Call first = net.nextCall();
        client.send(request("/safe/ahead", KEY, ""));
        takeAllKeysAway();
        assertServed(first, client, "served");
        assertEquals(401, answerWithoutCall(client).status());
        net.assertQuiet();
    }

    /** A request that a server has is answered: no answer is broken off for a change of the configuration. */
    @Test
    void aRequestAtAServerIsServedWhenItsKeyIsTakenAway() throws Exception {
        net.servers.plain();
        net.servers.decode();
        Wire client = net.sendRequest("/once/", KEY);
        Call call = net.nextCall();
        BegunStream stream = BegunStream.begin(net, "/gen/", KEY + PROMPT);
        takeAllKeysAway();
        assertServed(call, client, "served");
        stream.assertRelays(2);
        stream.assertEnds();
        net.assertQuiet();
    }

    // ---- requests that would be sent once more ----------------------------------------------------------

    @SafeAndUnsafeTest
    void aRejectedAttemptIsNotRetriedWithoutItsKey(String target) throws Exception {
        net.servers.plainServers(2);
        Wire client = net.sendRequest(target, KEY);
        Call rejected = net.nextCall();
        takeAllKeysAway();
        reject(rejected);
        assertRejected(answerWithoutCall(client));
        net.assertQuiet();
    }

    @Test
    void anAttemptThatMayHaveRunIsNotRetriedWithoutItsKeyAndFails() throws Exception {
        net.servers.plainServers(2);
        Wire client = net.sendRequest("/safe/", KEY);
        Call broken = net.nextCall();
        takeAllKeysAway();
        broken.wire().reset();
        assertEquals(502, answerWithoutCall(client).status(), "it may have run");
        net.assertQuiet();
    }

    @Test
    void aRequestIsNotSentWhoseKeyIsTakenAwayBeforeItsConnectionIsUp() throws Exception {
        ScriptedServer late = net.servers.add(ScriptedServer.late(net.servers.calls), PLAIN, null);
        Wire client = net.sendRequest("/safe/", KEY);
        awaitInFlight(PLAIN, late);
        takeAllKeysAway();
        late.letIn();
        assertRejected(answerWithoutCall(client));
        net.assertQuiet();
    }

    private void awaitInFlight(String service, ScriptedServer server) throws Exception {
        OnLoop.await(net.loop, () -> net.metadata.servers(service).stream()
                .anyMatch(s -> s.instanceId().equals(net.servers.id(server)) && s.inFlight() == 1));
    }

    @Test
    void aPrefilledRequestIsNotDecodedWithoutItsKeyAndItsHandleIsFreed() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", KEY + PROMPT);
        Call prefillCall = net.nextCall();
        takeAllKeysAway();
        handOver(prefillCall, "h1");
        Call next = net.nextCall();
        assertEquals("DELETE /kv-handle/h1 HTTP/1.1", next.message().startLine());
        assertSame(prefill, next.server());
        assertRejected(answerWithoutCall(client));
        net.assertQuiet();
    }

    @Test
    void aRejectedPrefillIsNotRetriedWithoutItsKey() throws Exception {
        net.servers.prefillServers(2);
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", KEY + PROMPT);
        Call rejected = net.nextCall();
        takeAllKeysAway();
        reject(rejected);
        assertRejected(answerWithoutCall(client));
        net.assertQuiet();
    }

    @Test
    void aRejectedDecodeIsNotRetriedWithoutItsKey() throws Exception {
        net.servers.decodeServers(2);
        Wire client = net.sendRequest("/gen/", KEY + PROMPT);
        Call rejected = net.nextCall();
        takeAllKeysAway();
        reject(rejected);
        assertRejected(answerWithoutCall(client));
        net.assertQuiet();
    }

    @Test
    void aDecodeIsNotSentWhoseKeyIsTakenAwayBeforeItsConnectionIsUp() throws Exception {
        ScriptedServer late = net.servers.add(ScriptedServer.late(net.servers.calls), MODEL, "decode");
        Wire client = net.sendRequest("/gen/", KEY);
        awaitInFlight(MODEL, late);
        takeAllKeysAway();
        late.letIn();
        assertRejected(answerWithoutCall(client));
        net.assertQuiet();
    }

    @Test
    void aBrokenStreamIsNotResumedWithoutItsKey() throws Exception {
        net.servers.decodeServers(2);
        BegunStream stream = BegunStream.begin(net, "/res/", KEY + PROMPT);
        takeAllKeysAway();
        stream.server().reset();
        OnLoop.await(net.loop, () -> net.forwarder.openRequests() == 0 || !net.servers.calls.isEmpty());
        assertTrue(net.servers.calls.isEmpty(), "a server got the request");
        Expectations.assertBrokenOff(stream.client());
        net.assertQuiet();
    }

    @Test
    void aRetryIsSentWhereTheKeyWasPassedOnToAnotherTenant() throws Exception {
        net.servers.plainServers(2);
        Wire client = net.sendRequest("/once/", KEY);
        Call rejected = net.nextCall();
        changeTenants(tenantWithKeys("k-1").replace("acme", "heir"));
        reject(rejected);
        assertServed(net.nextCall(), client, "served");
        net.assertQuiet();
    }
}
