package dewplank.dataplane;

import static dewplank.dataplane.CallFields.tenantName;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerAnswers.reject;
import static dewplank.dataplane.TestRoute.safeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.Wire;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that wait for a token of their tenant's quota: what they are answered, and what happens meanwhile. */
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

    private ForwarderFixture net;
    private ScriptedControlPlane controlPlane;

    private static String tenant(String name, String keys, int ratePerSecond) {
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + keys + "],\"priority\":1,\"rate_per_s\":"
                + ratePerSecond + ",\"burst_size\":5}";
    }

    @BeforeEach
    void begin() throws Exception {
        net = ForwarderFixture.builder()
                .withoutHedging()
                .tenants(TENANTS)
                .routes(ROUTES)
                .start();
        net.servers.plainServers(2);
        controlPlane = ScriptedControlPlane.connect(net);
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    /** A request that waits, and what was asked of the control plane for it. */
    private record Waiting(Wire client, QuotaRequest asked) {}

    private Waiting sendUntilItWaits() throws Exception {
        Wire client = net.sendRequest("/safe/", KEY);
        QuotaRequest asked = controlPlane.nextRequest();
        assertEquals(1, OnLoop.get(net.loop, net.forwarder::openRequests));
        return new Waiting(client, asked);
    }

    private void grant(Waiting waiting) throws Exception {
        controlPlane.reply(QuotaReply.granted(waiting.asked().id, 1));
    }

    private void assertServedByOneCall(Wire client) throws Exception {
        assertServed(net.nextCall(), client, "served");
        net.assertQuiet();
    }

    private Wire.Message answerWithoutCall(Wire client) throws Exception {
        OnLoop.await(net.loop, client::hasBytes);
        net.assertQuiet();
        return client.read();
    }

    private void assertNotAsked() {
        assertFalse(controlPlane.isAsked(), "a token was asked for");
    }

    // ---- who needs a token -------------------------------------------------------------------------------

    @Test
    void aLimitedTenantsRequestWaitsForATokenAndThenRuns() throws Exception {
        Waiting waiting = sendUntilItWaits();
        assertEquals(ACME, waiting.asked().tenant);
        assertTrue(net.servers.calls.isEmpty(), "a server got the request");
        grant(waiting);
        assertServedByOneCall(waiting.client());
    }

    @Test
    void aRequestOfATenantWithoutALimitNeedsNoToken() throws Exception {
        assertServedByOneCall(net.sendRequest("/safe/", UNLIMITED_KEY));
        assertNotAsked();
    }

    @Test
    void aRequestOnAPublicRouteWithoutAKeyNeedsNoToken() throws Exception {
        assertServedByOneCall(net.sendRequest("/open/", ""));
        assertNotAsked();
    }

    @Test
    void aRequestWithAnUnknownKeyCostsNoToken() throws Exception {
        Wire client = net.sendRequest("/safe/", "Authorization: Bearer k-9\r\n");
        assertEquals(401, answerWithoutCall(client).status());
        assertNotAsked();
    }

    @Test
    void aRetryUsesTheTokenOfItsRequest() throws Exception {
        Waiting waiting = sendUntilItWaits();
        grant(waiting);
        reject(net.nextCall());
        assertServedByOneCall(waiting.client());
        assertNotAsked();
    }

    @Test
    void eachRequestOfAConnectionNeedsItsOwnToken() throws Exception {
        Waiting first = sendUntilItWaits();
        grant(first);
        assertServedByOneCall(first.client());
        first.client().send(request("/safe/", KEY, "hi"));
        QuotaRequest asked = controlPlane.nextRequest();
        assertTrue(net.servers.calls.isEmpty(), "a server got the request");
        controlPlane.reply(QuotaReply.granted(asked.id, 1));
        assertServedByOneCall(first.client());
    }

    // ---- without a token ---------------------------------------------------------------------------------

    @Test
    void anExhaustedQuotaIsAnswered429WithRetryAfter() throws Exception {
        Waiting waiting = sendUntilItWaits();
        controlPlane.reply(QuotaReply.exhausted(waiting.asked().id, 250));
        Wire.Message answer = answerWithoutCall(waiting.client());
        assertEquals(429, answer.status());
        assertEquals("0.250", answer.header("Retry-After"));
    }

    @Test
    void aClientWhoseQuotaWasExhaustedMayRetryOnItsConnection() throws Exception {
        Waiting waiting = sendUntilItWaits();
        controlPlane.reply(QuotaReply.exhausted(waiting.asked().id, 250));
        assertEquals(429, answerWithoutCall(waiting.client()).status());
        OnLoop.run(net.loop, () -> net.quotaTime.advance(net.quotaTime.now() + 250));
        waiting.client().send(request("/safe/", KEY, "hi"));
        controlPlane.reply(QuotaReply.granted(controlPlane.nextRequest().id, 1));
        assertServedByOneCall(waiting.client());
    }

    @Test
    void whereNobodyCanTellARequestIsAnswered503WithRetryAfter() throws Exception {
        Waiting waiting = sendUntilItWaits();
        controlPlane.reply(QuotaReply.unavailable(waiting.asked().id));
        controlPlane.reply(QuotaReply.unavailable(controlPlane.nextRequest().id));
        assertRejected(answerWithoutCall(waiting.client()));
    }

    // ---- what happens meanwhile ----------------------------------------------------------------------------

    @Test
    void aRequestWhoseClientLeavesWhileItWaitsIsNotSent() throws Exception {
        Waiting waiting = sendUntilItWaits();
        waiting.client().close();
        net.awaitNoOpenRequest();
        grant(waiting);
        net.assertQuiet();
    }

    @Test
    void atShutdownARequestThatWaitsIsAnswered503AndNotSentLater() throws Exception {
        Waiting waiting = sendUntilItWaits();
        OnLoop.run(net.loop, net.forwarder::terminateAll);
        assertRejected(answerWithoutCall(waiting.client()));
        grant(waiting);
        net.assertQuiet();
    }

    @Test
    void aRequestWhoseRouteWasRemovedWhileItWaitedIsAnswered404() throws Exception {
        Waiting waiting = sendUntilItWaits();
        net.tenants(TENANTS, OPEN);
        grant(waiting);
        assertEquals(404, answerWithoutCall(waiting.client()).status());
    }

    @Test
    void aRequestWhoseKeyWasTakenAwayWhileItWaitedIsAnswered401() throws Exception {
        Waiting waiting = sendUntilItWaits();
        net.tenants("[" + tenant(ACME, "", 10) + "]", ROUTES);
        grant(waiting);
        assertEquals(401, answerWithoutCall(waiting.client()).status());
    }

    @Test
    void aRequestWhoseTenantWasRenamedWhileItWaitedNeedsNoSecondToken() throws Exception {
        Waiting waiting = sendUntilItWaits();
        net.tenants("[" + tenant(BIRCH, "\"k-1\"", 10) + "]", ROUTES);
        grant(waiting);
        Call call = net.nextCall();
        assertEquals(BIRCH, tenantName(call));
        assertServed(call, waiting.client(), "served");
        net.assertQuiet();
        assertNotAsked();
    }

    @Test
    void aRequestThatWaitedUnderAnotherVersionIsServedByThatInForce() throws Exception {
        Waiting waiting = sendUntilItWaits();
        net.tenants(TENANTS, SAFE.toService(TestConfiguration.OTHER), OPEN);
        net.servers.server(TestConfiguration.OTHER, null);
        grant(waiting);
        Call call = net.nextCall();
        assertEquals("i-2", net.servers.id(call.server()), "the server of the other service");
        assertServed(call, waiting.client(), "served");
        net.assertQuiet();
        assertNotAsked();
    }
}
