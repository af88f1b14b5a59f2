package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.ServerResponses.serve;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.configuration.RequestLimits;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The limits on the size and duration of clients' requests, according to the configuration. */
class ClientTimeoutsTest {
    private static final double APPLY_MS = 2_000;
    private static final int KIB = 1024;

    private final ClientTimeouts limits = new ClientTimeouts(APPLY_MS);

    private static RequestLimits limits(double headerMs, double idleMs) {
        return new RequestLimits(16 * KIB, 1 << 20, headerMs, idleMs);
    }

    // ---- changed limits -------------------------------------------------------------------------------

    @Test
    void aLongerTimeoutAppliesImmediately() {
        limits.update(0, limits(3_000, 5_000));
        limits.update(100_000, limits(4_000, 60_000));
        assertEquals(60_000, limits.idleMs(100_000));
        assertEquals(4_000, limits.headMs(100_000));
    }

    @Test
    void aShorterTimeoutAppliesOnceTheChangeHasReachedTheFleet() {
        limits.update(0, limits(3_000, 60_000));
        limits.update(100_000, limits(1_000, 5_000));
        assertEquals(60_000, limits.idleMs(101_999));
        assertEquals(3_000, limits.headMs(101_999));
        assertEquals(5_000, limits.idleMs(102_000));
        assertEquals(1_000, limits.headMs(102_000));
    }

    /** Updates without a change do not extend the delay, and two changes in quick succession both take effect. */
    @Test
    void theLongestOfOverlappingTimeoutsApplies() {
        limits.update(0, limits(3_000, 60_000));
        limits.update(100_000, limits(3_000, 20_000));
        limits.update(101_000, limits(3_000, 5_000));
        limits.update(102_500, limits(3_000, 5_000));
        assertEquals(60_000, limits.idleMs(102_900));
        assertEquals(5_000, limits.idleMs(103_000));
    }

    // ---- connections ----------------------------------------------------------------------------------

    /** Asserts that the only connection times out after that time and not earlier. */
    private static void assertTimesOutAfter(ForwarderFixture fixture, double ms) throws Exception {
        OnLoop.run(fixture.loop, () -> {
            ClientTimeouts limits = new ClientTimeouts(APPLY_MS);
            limits.update(0, fixture.metadata.configuration().limits());
            InboundConnection connection = fixture.forwarder.connections().get(0);
            double since = connection.waitingSince();
            assertFalse(limits.isTimedOut(since + 0.8 * ms, connection));
            assertFalse(limits.isTimedOut(since + ms, connection));
            assertTrue(limits.isTimedOut(since + ms + 1, connection));
        });
    }

    @Test
    void headBodyAndIdleTimeoutsAreSeparate() throws Exception {
        try (ForwarderFixture fixture =
                ForwarderFixture.builder().routes(unsafeRoute("once", 1)).start()) {
            fixture.servers.plain();
            TestPeer client = fixture.client();
            OnLoop.await(fixture.loop, () -> fixture.forwarder.openConnections() == 1);
            assertTimesOutAfter(fixture, 15_000);
            client.send("POST /once/ HTTP/1.1\r\nHost: " + HOST + "\r\n");
            OnLoop.await(
                    fixture.loop, () -> fixture.forwarder.connections().get(0).hasPartialRequest());
            assertTimesOutAfter(fixture, 3_000);
            client.send("Content-Length: 4\r\n\r\nab");
            OnLoop.await(
                    fixture.loop, () -> fixture.forwarder.connections().get(0).hasPartialRequestWithHead());
            assertTimesOutAfter(fixture, 15_000);
            client.send("cd");
            serve(fixture.nextCall(), "");
            assertEquals(200, client.read().status());
            OnLoop.await(
                    fixture.loop, () -> !fixture.forwarder.connections().get(0).isBusy());
            assertTimesOutAfter(fixture, 15_000);
        }
    }

    /** The idle time starts after the response, even if the response takes long. */
    @Test
    void aRequestBeingServedNeverTimesOut() throws Exception {
        try (ForwarderFixture fixture =
                ForwarderFixture.builder().routes(unsafeRoute("once", 1)).start()) {
            fixture.servers.plain();
            TestPeer client = fixture.sendRequest("/once/");
            Call call = fixture.nextCall();
            OnLoop.run(
                    fixture.loop,
                    () -> assertFalse(limits.isTimedOut(
                            Double.MAX_VALUE, fixture.forwarder.connections().get(0))));
            serve(call, "");
            assertEquals(200, client.read().status());
        }
    }

    // ---- heads ----------------------------------------------------------------------------------------

    private static String requestWithLongHead(int bytes) {
        return request("/once/", "X-Long: " + "x".repeat(bytes) + "\r\n", "");
    }

    private static void applyMaxHeaderBytes(ForwarderFixture fixture, int maxHeaderBytes) throws Exception {
        String json = new String(fixture.metadata.configuration().json(), StandardCharsets.UTF_8)
                .replaceFirst("\"config_version\":[0-9]+", "\"config_version\":99")
                .replaceFirst("\"max_header_bytes\":[0-9]+", "\"max_header_bytes\":" + maxHeaderBytes);
        Configuration next = Configuration.parse(json.getBytes(StandardCharsets.UTF_8));
        OnLoop.run(fixture.loop, () -> fixture.metadata.updateConfiguration(next));
    }

    @Test
    void maxHeaderBytesOfTheConfigurationApplies() throws Exception {
        try (ForwarderFixture fixture =
                ForwarderFixture.builder().routes(unsafeRoute("once", 1)).start()) {
            fixture.servers.plain();
            applyMaxHeaderBytes(fixture, 60 * KIB);
            TestPeer client = fixture.client();
            client.send(requestWithLongHead(59 * KIB));
            serve(fixture.nextCall(), "");
            assertEquals(200, client.read().status());
            TestPeer tooLong = fixture.client();
            tooLong.send(requestWithLongHead(70 * KIB));
            assertEquals(431, tooLong.read().status());
        }
    }

    /** Without a configuration the limit is unknown, and a final response such as 431 could be incorrect. */
    @Test
    void aLongHeadIsRejectedWithRetryAfterWithoutAConfiguration() throws Exception {
        try (ForwarderFixture fixture = ForwarderFixture.builder().start()) {
            TestPeer client = fixture.client();
            client.send(requestWithLongHead(60 * KIB));
            assertEquals(503, client.read().status());
        }
    }

    /** A shorter idle timeout that is not in force yet does not shorten the time of reuse either. */
    @Test
    void clientsReuseConnectionsForFourFifthsOfTheIdleTimeout() {
        assertEquals(12_000, limits.reuseMs(0));
        limits.update(0, limits(1_000, 5_000));
        assertEquals(12_000, limits.reuseMs(APPLY_MS - 1));
        assertEquals(4_000, limits.reuseMs(APPLY_MS));
    }
}
