package dewplank.dataplane;

import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.FleetUpdates.complete;
import static dewplank.dataplane.ServerResponses.reject;
import static dewplank.dataplane.TestRoute.safeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.AccessKeyDigest;
import dewplank.configuration.Configuration;
import dewplank.configuration.Route;
import dewplank.configuration.Tenant;
import dewplank.dataplane.AccessControl.Decision;
import dewplank.dataplane.AccessControl.Revocation;
import dewplank.dataplane.FakeControlPlane.Session;
import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import dewplank.message.ConfirmedConfiguration;
import dewplank.message.HeartbeatAck;
import dewplank.message.SessionHeartbeat;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * How long a data plane accepts keys after the last confirmation that its configuration is the newest, over TCP with
 * fake control planes and with the test's clock.
 */
class ConfigurationConfirmationTest {
    /** No update is deferred. */
    private static final double CONTACT_MS = 0;

    private static final double REVOKE_MS = 5_000;
    /** {@link #REVOKE_MS} minus 2 % for clock drift and 150 ms for a pause of the process (docs/design-quotas.md). */
    private static final double VALIDITY_MS = 4_750;

    /** Longer than any test takes. */
    private static final double LONG_REVOKE_MS = 60_000;
    /** Longer than a busy machine takes from a confirmation until the request reaches a server. */
    private static final double SHORT_REVOKE_MS = 2_000;

    private static final double HEARTBEAT_INTERVAL_MS = SessionParameters.DEFAULTS.heartbeatIntervalMs();
    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final TestRoute[] ROUTES = {
        safeRoute("safe", 1), safeRoute("again", 3), safeRoute("open", 1).asPublic()
    };
    private static final String TENANTS = "[{\"name\":\"acme\",\"access_keys\":[\"k-1\"]}]";
    private static final String WITHOUT_TENANTS = "";
    private static final String BEARER = "Authorization: Bearer k-1\r\n";
    private static final Optional<AccessKeyDigest> KEY = Optional.of(AccessKeyDigest.of("k-1"));
    private static final Optional<AccessKeyDigest> UNKNOWN_KEY = Optional.of(AccessKeyDigest.of("k-2"));

    private SessionFixture fixture;
    private AccessControl accessControl;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new SessionFixture(CONTACT_MS);
        accessControl = fixture.accessControl(new Revocation(true, REVOKE_MS));
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    // ---- steps ----------------------------------------------------------------------------------------

    private static Configuration configuration(long version, String tenants) throws Exception {
        return TestConfiguration.of(version, MAX_BODY_BYTES, tenants, ROUTES);
    }

    private void deliver(Session session, long version) throws Exception {
        session.send(complete(configuration(version, TENANTS)));
        fixture.awaitVersion(version);
    }

    /** A heartbeat that a control plane has received, and when it was sent. */
    private record SentHeartbeat(long sequence, double atMs) {}

    /** Waits for the next heartbeat; the time is exact if the test has taken all earlier heartbeats. */
    private SentHeartbeat nextHeartbeat(Session session) throws Exception {
        SessionHeartbeat heartbeat = session.heartbeat();
        return new SentHeartbeat(heartbeat.sequence, fixture.now());
    }

    /** Acknowledges the heartbeat with a confirmation, which is handled before the clock advances. */
    private void confirm(Session session, SentHeartbeat heartbeat, long version, double ageMs) throws Exception {
        ConfirmedConfiguration confirmed = new ConfirmedConfiguration(version, ageMs);
        session.send(new HeartbeatAck(heartbeat.sequence(), true, List.of(), confirmed));
        fixture.advanceClock(0);
    }

    /** Acknowledges the heartbeat without a confirmation, as if no quorum had confirmed a configuration. */
    private void acknowledge(Session session, SentHeartbeat heartbeat) throws Exception {
        session.send(new HeartbeatAck(heartbeat.sequence(), true, List.of()));
        fixture.advanceClock(0);
    }

    /** Advances the clock; heartbeats are acknowledged to keep the session open, but without a confirmation. */
    private void advanceWithoutConfirmation(Session session, double ms) throws Exception {
        double until = fixture.now() + ms;
        while (fixture.now() + HEARTBEAT_INTERVAL_MS <= until) {
            acknowledge(session, nextHeartbeat(session));
        }
        fixture.advanceClock(until - fixture.now());
    }

    private double confirmedAt() throws Exception {
        return OnLoop.get(fixture.loop, fixture.metadata::confirmedAtMs);
    }

    private Decision decide(String route, Optional<AccessKeyDigest> key) throws Exception {
        Route matched = fixture.metadata.routes().find(ClientRequests.HOST, "/" + route + "/");
        return OnLoop.get(fixture.loop, () -> accessControl.decide(matched, key));
    }

    private boolean isServing() throws Exception {
        return OnLoop.get(fixture.loop, accessControl::isServing);
    }

    private void assertServed() throws Exception {
        Decision decision = decide("safe", KEY);
        assertEquals(
                Optional.of("acme"),
                assertInstanceOf(Decision.Allowed.class, decision).tenant().map(Tenant::name));
        assertInstanceOf(Decision.UnknownKey.class, decide("safe", UNKNOWN_KEY));
        assertInstanceOf(Decision.UnknownKey.class, decide("safe", Optional.empty()));
        assertTrue(isServing());
    }

    /** An unknown key must not be rejected with 401, because a newer configuration may contain it. */
    private void assertUnconfirmed() throws Exception {
        assertInstanceOf(Decision.Unconfirmed.class, decide("safe", KEY));
        assertInstanceOf(Decision.Unconfirmed.class, decide("safe", UNKNOWN_KEY));
        assertInstanceOf(Decision.Unconfirmed.class, decide("safe", Optional.empty()));
        assertFalse(isServing());
    }

    private void assertPublicRouteIsServed() throws Exception {
        assertInstanceOf(Decision.Allowed.class, decide("open", KEY));
        assertInstanceOf(Decision.Allowed.class, decide("open", UNKNOWN_KEY));
        assertInstanceOf(Decision.Allowed.class, decide("open", Optional.empty()));
    }

    // ---- the time of a confirmation --------------------------------------------------------------------

    @Test
    void noKeyIsAcceptedBeforeTheFirstConfirmation() throws Exception {
        Session session = fixture.startSession();
        assertFalse(isServing(), "there is no configuration");
        deliver(session, 7);
        assertUnconfirmed();
        assertPublicRouteIsServed();
        advanceWithoutConfirmation(session, 2 * HEARTBEAT_INTERVAL_MS);
        assertUnconfirmed();
        assertPublicRouteIsServed();
    }

    @Test
    void aConfirmationCountsFromTheTimeAtWhichItsHeartbeatWasSent() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        SentHeartbeat first = nextHeartbeat(session);
        deliver(session, 7);
        nextHeartbeat(session);
        nextHeartbeat(session);
        fixture.advanceClock(HEARTBEAT_INTERVAL_MS / 2);
        confirm(session, first, 7, 0);
        assertEquals(first.atMs(), confirmedAt());
        assertServed();
        fixture.advanceClock(first.atMs() + VALIDITY_MS - fixture.now());
        assertServed();
        fixture.advanceClock(1);
        assertUnconfirmed();
    }

    @Test
    void theAgeOfAConfirmationIsSubtracted() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat heartbeat = nextHeartbeat(session);
        confirm(session, heartbeat, 7, 1_234.5);
        assertEquals(heartbeat.atMs() - 1_234.5, confirmedAt());
        assertServed();
    }

    /** A control plane that has lost its quorum repeats its last confirmation with a growing age. */
    @Test
    void noKeyIsAcceptedByAnExpiredConfirmation() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat heartbeat = nextHeartbeat(session);
        confirm(session, heartbeat, 7, VALIDITY_MS + 1);
        assertUnconfirmed();
        confirm(session, heartbeat, 7, VALIDITY_MS);
        assertServed();
    }

    @Test
    void anAcknowledgementOfADiscardedHeartbeatConfirmsNothing() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat first = nextHeartbeat(session);
        SentHeartbeat second = nextHeartbeat(session);
        acknowledge(session, second); // the heartbeats before it are discarded
        confirm(session, first, 7, 0);
        assertEquals(NEVER, confirmedAt());
        assertUnconfirmed();
        confirm(session, second, 7, 0);
        assertEquals(second.atMs(), confirmedAt());
    }

    @Test
    void anAcknowledgementOfAHeartbeatThatWasNeverSentConfirmsNothing() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat heartbeat = nextHeartbeat(session);
        confirm(session, new SentHeartbeat(heartbeat.sequence() + 1_000, fixture.now()), 7, 0);
        assertEquals(NEVER, confirmedAt());
    }

    @Test
    void anAcknowledgementOfAnotherSessionsHeartbeatConfirmsNothing() throws Exception {
        FakeControlPlane one = fixture.controlPlane().withoutAcks();
        FakeControlPlane two = fixture.controlPlane().withoutAcks();
        fixture.start(one, two);
        Session first = one.session();
        Session second = two.session();
        deliver(first, 7);
        confirm(second, nextHeartbeat(first), 7, 0);
        assertEquals(NEVER, confirmedAt());
    }

    @Test
    void onlyTheLatestHeartbeatsAreStored() {
        PendingHeartbeats pending = new PendingHeartbeats(2);
        pending.add(1, 100);
        pending.add(2, 200);
        pending.add(3, 300);
        assertEquals(OptionalDouble.empty(), pending.sentAt(1));
        assertEquals(OptionalDouble.of(200), pending.sentAt(2));
        assertEquals(OptionalDouble.of(300), pending.sentAt(3));
        assertEquals(OptionalDouble.empty(), pending.sentAt(4));
    }

    // ---- confirmed versions ---------------------------------------------------------------------------

    @Test
    void aConfirmationOfANewerVersionCountsOnceThatVersionIsInForce() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat heartbeat = nextHeartbeat(session);
        confirm(session, heartbeat, 9, 0);
        assertEquals(NEVER, confirmedAt());
        assertUnconfirmed();
        deliver(session, 8);
        assertEquals(NEVER, confirmedAt());
        assertUnconfirmed();
        deliver(session, 9);
        assertEquals(heartbeat.atMs(), confirmedAt());
        assertServed();
    }

    @Test
    void aConfirmationOfAVersionOlderThanTheOneInForceCounts() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat heartbeat = nextHeartbeat(session);
        confirm(session, heartbeat, 6, 0);
        assertEquals(heartbeat.atMs(), confirmedAt());
        assertServed();
    }

    /** The other session delivered the newer version; the next acknowledgement confirms it at the latest. */
    @Test
    void aVersionThatAnotherSessionDeliveredIsConfirmed() throws Exception {
        FakeControlPlane one = fixture.controlPlane().withoutAcks();
        FakeControlPlane two = fixture.controlPlane().withoutAcks();
        fixture.start(one, two);
        Session first = one.session();
        Session second = two.session();
        deliver(first, 7);
        confirm(first, nextHeartbeat(first), 9, 0);
        deliver(second, 9);
        SentHeartbeat next = nextHeartbeat(first);
        confirm(first, next, 9, 0);
        assertEquals(next.atMs(), confirmedAt());
        assertServed();
    }

    // ---- delayed and reordered acknowledgements ----------------------------------------------------------

    @Test
    void aConfirmationOlderThanAnotherSessionsHasNoEffect() throws Exception {
        FakeControlPlane one = fixture.controlPlane().withoutAcks();
        FakeControlPlane two = fixture.controlPlane().withoutAcks();
        fixture.start(one, two);
        Session first = one.session();
        Session second = two.session();
        deliver(first, 7);
        SentHeartbeat early = nextHeartbeat(first);
        nextHeartbeat(second);
        nextHeartbeat(first);
        SentHeartbeat late = nextHeartbeat(second);
        confirm(second, late, 7, 0);
        assertEquals(late.atMs(), confirmedAt());
        confirm(first, early, 7, 0);
        assertEquals(late.atMs(), confirmedAt());
        confirm(first, early, 6, 500);
        assertEquals(late.atMs(), confirmedAt());
    }

    @Test
    void repeatedAcknowledgementsOfOneHeartbeatDoNotExtendAConfirmation() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat first = nextHeartbeat(session);
        while (fixture.now() <= first.atMs() + VALIDITY_MS) {
            confirm(session, first, 7, 0);
            assertEquals(first.atMs(), confirmedAt());
            nextHeartbeat(session);
        }
        assertUnconfirmed();
    }

    @Test
    void aNewSessionsAcknowledgementsDoNotConfirmHeartbeatsOfTheEarlierSession() throws Exception {
        FakeControlPlane control = fixture.controlPlane().withoutAcks();
        fixture.start(control);
        Session broken = control.session();
        deliver(broken, 7);
        SentHeartbeat old = nextHeartbeat(broken);
        broken.reset();
        Session next = control.session();
        confirm(next, old, 7, 0);
        assertEquals(NEVER, confirmedAt());
    }

    // ---- loss of contact ------------------------------------------------------------------------------

    @Test
    void onlyPublicRoutesAreServedAfterTheConfirmationExpires() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        confirm(session, nextHeartbeat(session), 7, 0);
        double expiresAt = confirmedAt() + VALIDITY_MS;
        advanceWithoutConfirmation(session, expiresAt - fixture.now());
        assertServed();
        advanceWithoutConfirmation(session, 1);
        assertUnconfirmed();
        assertPublicRouteIsServed();
        assertEquals(
                Optional.empty(),
                assertInstanceOf(Decision.Allowed.class, decide("open", KEY)).tenant(),
                "the key may have been reassigned to another tenant");
    }

    @Test
    void keysAreAcceptedAgainAfterTheNextConfirmation() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        confirm(session, nextHeartbeat(session), 7, 0);
        advanceWithoutConfirmation(session, VALIDITY_MS + 1);
        assertUnconfirmed();
        confirm(session, nextHeartbeat(session), 7, 0);
        assertServed();
    }

    /** No timer has run and no message was received since the pause, so the decision depends on the clock only. */
    @Test
    void aPausedProcessDecidesByItsClockWhenItContinues() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat heartbeat = nextHeartbeat(session);
        confirm(session, heartbeat, 7, 0);
        fixture.pause(VALIDITY_MS);
        assertServed();
        fixture.pause(1);
        assertUnconfirmed();
        confirm(session, heartbeat, 7, 0);
        assertUnconfirmed();
    }

    /** Session timeouts exclude the time for which the process was paused; the age of the confirmation includes it. */
    @Test
    void aPauseThatTimeoutsExcludeCountsForTheAgeOfAConfirmation() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        SentHeartbeat before = nextHeartbeat(session);
        confirm(session, before, 7, 0);
        fixture.pause(VALIDITY_MS + 1);
        SentHeartbeat after = nextHeartbeat(session);
        assertFalse(session.isClosed());
        assertEquals(before.atMs(), confirmedAt());
        assertUnconfirmed();
        confirm(session, after, 7, 0);
        assertServed();
    }

    // ---- without required confirmations ------------------------------------------------------------------

    @Test
    void withRevocationThatFailsOpenKeysAreAcceptedByTheLastConfiguration() throws Exception {
        accessControl = fixture.accessControl(Revocation.OPEN);
        Session session = fixture.startSessionWithoutAcks();
        deliver(session, 7);
        assertServed();
        fixture.pause(10 * REVOKE_MS);
        assertServed();
    }

    @Test
    void withoutTenantsNoConfirmationIsRequired() throws Exception {
        Session session = fixture.startSessionWithoutAcks();
        session.send(complete(configuration(7, WITHOUT_TENANTS)));
        fixture.awaitVersion(7);
        assertInstanceOf(Decision.Allowed.class, decide("safe", Optional.empty()));
        assertInstanceOf(Decision.Allowed.class, decide("safe", UNKNOWN_KEY));
        assertTrue(isServing());
    }

    // ---- responses to clients ---------------------------------------------------------------------------

    private static ForwarderFixture.Builder forwarder(double revokeMs) {
        return ForwarderFixture.builder().tenants(TENANTS).routes(ROUTES).withRevocationThatFailsClosed(revokeMs);
    }

    private static void assertServed(ForwarderFixture forwarder, String target) throws Exception {
        TestPeer client = forwarder.sendRequest(target, BEARER);
        Expectations.assertServed(forwarder.nextCall(), client, "served");
    }

    private static boolean isReady(ForwarderFixture forwarder) throws Exception {
        return OnLoop.get(forwarder.loop, forwarder.forwarder::isServing);
    }

    @Test
    void withoutARecentConfirmationRequestsAreRejectedAndTheDataPlaneIsNotReady() throws Exception {
        try (ForwarderFixture forwarder = forwarder(LONG_REVOKE_MS).start()) {
            forwarder.servers.plain();
            for (double ageMs : new double[] {Double.POSITIVE_INFINITY, LONG_REVOKE_MS}) {
                forwarder.confirm(ageMs);
                assertRejected(forwarder.sendRequest("/safe/", BEARER).read());
                assertRejected(forwarder.sendRequest("/safe/").read());
                assertFalse(isReady(forwarder));
                assertServed(forwarder, "/open/");
            }
            forwarder.confirm(0);
            assertTrue(isReady(forwarder));
            assertServed(forwarder, "/safe/");
            assertEquals(401, forwarder.sendRequest("/safe/").read().status());
            forwarder.assertNoOpenRequests();
        }
    }

    @Test
    void aRequestIsNotRetriedAfterTheConfirmationExpires() throws Exception {
        try (ForwarderFixture forwarder = forwarder(SHORT_REVOKE_MS).start()) {
            forwarder.servers.plainServers(2);
            forwarder.confirm(0);
            TestPeer client = forwarder.sendRequest("/again/", BEARER);
            Call call = forwarder.nextCall();
            forwarder.waitOnLoop(SHORT_REVOKE_MS);
            reject(call);
            assertRejected(client.read());
            forwarder.assertNoOpenRequests();
        }
    }
}
