package dewplank.dataplane;

import static dewplank.dataplane.CallFields.tenantName;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerResponses.reject;
import static dewplank.dataplane.TestRoute.safeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that wait for a token of their tenant's quota: their responses, and events while they wait. */
class RequestAdmissionTest {
    private static final TestRoute SAFE = safeRoute("safe", 3);
    private static final TestRoute OPEN = safeRoute("open", 3).asPublic();
    private static final TestRoute[] ROUTES = {SAFE, OPEN};

    private static final String ACME = "acme";
    private static final String BIRCH = "birch";
    private static final String KEY = "Authorization: Bearer k-1\r\n";
    private static final String UNLIMITED_KEY = "Authorization: Bearer k-2\r\n";
    private static final String UNLIMITED_TENANT = tenant("cedar", "\"k-2\"", 0);
    private static final String TENANTS = "[" + tenant(ACME, "\"k-1\"", 10) + "," + UNLIMITED_TENANT + "]";

    private ForwarderFixture fixture;
    private ScriptedControlPlane controlPlane;

    private static String tenant(String name, String keys, int ratePerSecond) {
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + keys + "],\"priority\":1,\"rate_per_s\":"
                + ratePerSecond + ",\"burst_size\":5}";
    }

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .withoutHedging()
                .tenants(TENANTS)
                .routes(ROUTES)
                .start();
        fixture.servers.plainServers(2);
        controlPlane = ScriptedControlPlane.connect(fixture);
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /** A waiting request's client, and the quota request that the control plane received for it. */
    private record WaitingRequest(TestPeer client, QuotaRequest quotaRequest) {}

    private WaitingRequest sendAndAwaitQuotaRequest() throws Exception {
        TestPeer client = fixture.sendRequest("/safe/", KEY);
        QuotaRequest quotaRequest = controlPlane.nextRequest();
        assertEquals(1, OnLoop.get(fixture.loop, fixture.forwarder::openRequests));
        return new WaitingRequest(client, quotaRequest);
    }

    private void grant(WaitingRequest waiting) throws Exception {
        controlPlane.reply(QuotaReply.granted(waiting.quotaRequest().id, 1));
    }

    private void assertServedByOneCall(TestPeer client) throws Exception {
        assertServed(fixture.nextCall(), client, "served");
        fixture.assertNoOpenRequests();
    }

    private TestPeer.Message responseWithoutCall(TestPeer client) throws Exception {
        OnLoop.await(fixture.loop, client::hasBytes);
        fixture.assertNoOpenRequests();
        return client.read();
    }

    private void assertNoQuotaRequest() {
        assertFalse(controlPlane.hasRequest(), "a token was requested");
    }

    // ---- requests that need a token ----------------------------------------------------------------------

    @Test
    void aLimitedTenantsRequestIsServedOnceItsTokenIsGranted() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        assertEquals(ACME, waiting.quotaRequest().tenant);
        assertTrue(fixture.servers.calls.isEmpty(), "a server received the request");
        grant(waiting);
        assertServedByOneCall(waiting.client());
    }

    @Test
    void aRequestOfATenantWithoutALimitNeedsNoToken() throws Exception {
        assertServedByOneCall(fixture.sendRequest("/safe/", UNLIMITED_KEY));
        assertNoQuotaRequest();
    }

    @Test
    void aRequestOnAPublicRouteWithoutAKeyNeedsNoToken() throws Exception {
        assertServedByOneCall(fixture.sendRequest("/open/", ""));
        assertNoQuotaRequest();
    }

    @Test
    void aRequestWithAnUnknownKeyUsesNoToken() throws Exception {
        TestPeer client = fixture.sendRequest("/safe/", "Authorization: Bearer k-9\r\n");
        assertEquals(401, responseWithoutCall(client).status());
        assertNoQuotaRequest();
    }

    @Test
    void aRetryUsesTheTokenOfItsRequest() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        grant(waiting);
        reject(fixture.nextCall());
        assertServedByOneCall(waiting.client());
        assertNoQuotaRequest();
    }

    @Test
    void eachRequestOfAConnectionNeedsItsOwnToken() throws Exception {
        WaitingRequest first = sendAndAwaitQuotaRequest();
        grant(first);
        assertServedByOneCall(first.client());
        first.client().send(request("/safe/", KEY, "hi"));
        QuotaRequest quotaRequest = controlPlane.nextRequest();
        assertTrue(fixture.servers.calls.isEmpty(), "a server received the request");
        controlPlane.reply(QuotaReply.granted(quotaRequest.id, 1));
        assertServedByOneCall(first.client());
    }

    // ---- requests without a token ------------------------------------------------------------------------

    @Test
    void aRequestIsRejectedWith429AndRetryAfterIfTheQuotaIsExhausted() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        controlPlane.reply(QuotaReply.exhausted(waiting.quotaRequest().id, 250));
        TestPeer.Message response = responseWithoutCall(waiting.client());
        assertEquals(429, response.status());
        assertEquals("0.250", response.header("Retry-After"));
    }

    @Test
    void aClientWhoseQuotaWasExhaustedMayRetryOnItsConnection() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        controlPlane.reply(QuotaReply.exhausted(waiting.quotaRequest().id, 250));
        assertEquals(429, responseWithoutCall(waiting.client()).status());
        OnLoop.run(fixture.loop, () -> fixture.quotaClock.advance(fixture.quotaClock.now() + 250));
        waiting.client().send(request("/safe/", KEY, "hi"));
        controlPlane.reply(QuotaReply.granted(controlPlane.nextRequest().id, 1));
        assertServedByOneCall(waiting.client());
    }

    @Test
    void aRequestIsRejectedWith503AndRetryAfterIfTheQuotaIsUnavailable() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        controlPlane.reply(QuotaReply.unavailable(waiting.quotaRequest().id));
        controlPlane.reply(QuotaReply.unavailable(controlPlane.nextRequest().id));
        assertRejected(responseWithoutCall(waiting.client()));
    }

    // ---- events while a request waits ----------------------------------------------------------------------

    @Test
    void aRequestWhoseClientDisconnectsWhileItWaitsIsNotSent() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        waiting.client().close();
        fixture.awaitNoOpenRequest();
        grant(waiting);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aWaitingRequestIsRejectedWith503AtShutdownAndNotSentLater() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        OnLoop.run(fixture.loop, fixture.forwarder::respondToAll);
        assertRejected(responseWithoutCall(waiting.client()));
        grant(waiting);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRequestWhoseRouteWasRemovedWhileItWaitedIsRejectedWith404() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        fixture.tenants(TENANTS, OPEN);
        grant(waiting);
        assertEquals(404, responseWithoutCall(waiting.client()).status());
    }

    @Test
    void aRequestWhoseKeyWasRevokedWhileItWaitedIsRejectedWith401() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        fixture.tenants("[" + tenant(ACME, "", 10) + "]", ROUTES);
        grant(waiting);
        assertEquals(401, responseWithoutCall(waiting.client()).status());
    }

    @Test
    void aRequestWhoseTenantWasRenamedWhileItWaitedNeedsNoSecondToken() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        fixture.tenants("[" + tenant(BIRCH, "\"k-1\"", 10) + "]", ROUTES);
        grant(waiting);
        Call call = fixture.nextCall();
        assertEquals(BIRCH, tenantName(call));
        assertServed(call, waiting.client(), "served");
        fixture.assertNoOpenRequests();
        assertNoQuotaRequest();
    }

    @Test
    void aRequestThatWaitedIsRoutedByTheConfigurationThenInForce() throws Exception {
        WaitingRequest waiting = sendAndAwaitQuotaRequest();
        fixture.tenants(TENANTS, SAFE.toService(TestConfiguration.OTHER), OPEN);
        fixture.servers.server(TestConfiguration.OTHER, null);
        grant(waiting);
        Call call = fixture.nextCall();
        assertEquals("i-2", fixture.servers.id(call.server()), "the server of the other service");
        assertServed(call, waiting.client(), "served");
        fixture.assertNoOpenRequests();
        assertNoQuotaRequest();
    }
}
