package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.FleetUpdates.complete;
import static dewplank.dataplane.FleetUpdates.configuration;
import static dewplank.dataplane.FleetUpdates.delta;
import static dewplank.dataplane.FleetUpdates.endpointList;
import static dewplank.dataplane.FleetUpdates.endpoints;
import static dewplank.dataplane.FleetUpdates.members;
import static dewplank.dataplane.SessionFixture.SELF;
import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.configuration.DeflateCodec;
import dewplank.dataplane.FakeControlPlane.Session;
import dewplank.exchange.OnLoop;
import dewplank.exchange.ReservedPort;
import dewplank.exchange.TestPeer;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.Endpoint;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetUpdate;
import dewplank.message.HeartbeatAck;
import dewplank.message.SessionHeartbeat;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A data plane's sessions with fake control planes, over TCP and with the test's clock. */
class SessionClientTest {
    /** Contact time that does not elapse during a test; tests that need it to elapse set a shorter one. */
    private static final double CONTACT_MS = 120_000;

    private static final SessionParameters PARAMETERS = SessionParameters.DEFAULTS;

    private static final EndpointListVersion FIRST_LIST = new EndpointListVersion(1, 1);

    private SessionFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new SessionFixture(CONTACT_MS);
    }

    private void useContactTime(double contactMs) throws IOException {
        fixture.close();
        fixture = new SessionFixture(contactMs);
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    // ---- heartbeats and updates ----------------------------------------------------------------------

    @Test
    void aSessionOpensWithItsMemberAndHeartbeatsCarryTheVersionsInForce() throws Exception {
        Session session = fixture.startSession();
        assertEquals(SELF, session.open().member);
        SessionHeartbeat first = session.heartbeat();
        assertEquals(0, first.configurationVersion);
        assertEquals(EndpointListVersion.NONE, first.listVersion);
        assertEquals(0, first.membersDigest);
        List<Member> members = List.of(SELF, new Member("n2", Member.CONTROL, "10.0.0.8:1", "z", 4));
        Endpoint entry = new Endpoint("i", PLAIN, "127.0.0.1:9", "z", 4, false, 0, null);
        Configuration config = configuration(7, safeRoute("r", 1));
        session.send(complete(config, endpointList(new EndpointListVersion(2, 5), entry), members));
        SessionHeartbeat next = session.heartbeatWithVersion(7);
        assertTrue(next.sequence > first.sequence);
        assertEquals(new EndpointListVersion(2, 5), next.listVersion);
        assertEquals(SessionTable.digest(members), next.membersDigest);
        assertEquals("r", fixture.metadata.routes().find(HOST, "/r/").name());
        assertEquals(
                1,
                OnLoop.get(fixture.loop, () -> fixture.metadata.servers(PLAIN).size()));
        assertEquals(members, fixture.metadata.members());
        assertTrue(fixture.metadata.isComplete());
        assertEquals(1, fixture.changes.get());
    }

    @Test
    void absentSectionsOfAnUpdateHaveNoEffect() throws Exception {
        Session session = fixture.startSession();
        session.send(complete(configuration(7, safeRoute("r", 1))));
        session.heartbeatWithVersion(7);
        session.send(endpoints(endpointList(FIRST_LIST), null));
        fixture.await(fixture.metadata::isComplete);
        session.send(members(List.of(SELF)));
        fixture.await(() -> fixture.metadata.members().size() == 1);
        assertEquals(7, fixture.metadata.configurationVersion());
        assertEquals(FIRST_LIST, fixture.metadata.listVersion());
    }

    @Test
    void aDeltaIsAppliedToTheVersionInForce() throws Exception {
        Session session = fixture.startSession();
        Configuration first = configuration(7, safeRoute("a", 1), safeRoute("b", 1));
        Configuration second = configuration(8, safeRoute("b", 1), unsafeRoute("c", 2));
        session.send(complete(first));
        session.heartbeatWithVersion(7);
        session.send(delta(first, second));
        session.heartbeatWithVersion(8);
        assertNull(fixture.metadata.routes().find(HOST, "/a/"));
        assertEquals("c", fixture.metadata.routes().find(HOST, "/c/").name());
        assertEquals(
                new String(second.json(), StandardCharsets.UTF_8),
                new String(fixture.metadata.configuration().json(), StandardCharsets.UTF_8));
    }

    /**
     * The delta is based on a version that is not in force: the session is closed, and the next one delivers the
     * missing configuration.
     */
    @Test
    void aDeltaFromAnotherVersionClosesItsSession() throws Exception {
        FakeControlPlane control = fixture.controlPlane();
        fixture.start(control);
        Session session = control.session();
        Configuration inForce = configuration(3, safeRoute("a", 1));
        Configuration other = configuration(7, safeRoute("b", 1));
        Configuration newest = configuration(8, safeRoute("c", 1));
        session.send(complete(inForce));
        session.heartbeatWithVersion(3);
        session.send(delta(other, newest));
        session.awaitClose();
        assertEquals(3, fixture.metadata.configurationVersion());
        Session next = control.session();
        assertEquals(SELF, next.open().member);
        assertEquals(3, next.heartbeat().configurationVersion);
        next.send(complete(newest));
        fixture.awaitVersion(8);
        assertFalse(next.isClosed());
    }

    @Test
    void aMalformedUpdateClosesItsSessionAndIsNotApplied() throws Exception {
        FakeControlPlane control = fixture.controlPlane();
        fixture.start(control);
        Configuration inForce = configuration(3, safeRoute("a", 1));
        Session session = control.session();
        session.send(complete(inForce));
        session.heartbeatWithVersion(3);
        for (byte[] malformed : new byte[][] {{1, 2, 3}, DeflateCodec.deflate("{}".getBytes(StandardCharsets.UTF_8))}) {
            session.send(new FleetUpdate(malformed, 9, 0, null, null));
            session.awaitClose();
            session = control.session();
            assertEquals(3, session.heartbeat().configurationVersion);
        }
        session.send(new FleetUpdate(DeflateCodec.deflate(new byte[] {1, 2, 3}), 9, 3, null, null));
        session.awaitClose();
        assertEquals("a", fixture.metadata.routes().find(HOST, "/a/").name());
    }

    /** Two sessions deliver the same updates at different times: the later delivery is not an error. */
    @Test
    void anUpdateThatAnotherSessionDeliveredFirstIsSkipped() throws Exception {
        FakeControlPlane one = fixture.controlPlane();
        FakeControlPlane two = fixture.controlPlane();
        fixture.start(one, two);
        Session fast = one.session();
        Session slow = two.session();
        Configuration first = configuration(7, safeRoute("a", 1));
        Configuration second = configuration(8, safeRoute("b", 1));
        fast.send(complete(first));
        fixture.awaitVersion(7);
        fast.send(delta(first, second));
        fixture.awaitVersion(8);
        slow.send(delta(first, second));
        slow.send(complete(first));
        slow.send(new FleetUpdate(new byte[] {1, 2, 3}, 8, 0, endpointList(FIRST_LIST), null));
        fixture.await(fixture.metadata::isComplete); // all updates before it have been handled then
        assertEquals(8, fixture.metadata.configurationVersion());
        assertEquals("b", fixture.metadata.routes().find(HOST, "/b/").name());
        assertFalse(slow.isClosed());
        assertEquals(2, OnLoop.get(fixture.loop, fixture.client::openSessions));
    }

    // ---- selection of control planes ------------------------------------------------------------------

    private static long countWithSession(FakeControlPlane... controlPlanes) {
        return Arrays.stream(controlPlanes)
                .filter(controlPlane -> !controlPlane.hasNoNewSession())
                .count();
    }

    @Test
    void twoSessionsAreKeptOpenWithDifferentControlPlanes() throws Exception {
        FakeControlPlane[] three = {fixture.controlPlane(), fixture.controlPlane(), fixture.controlPlane()};
        fixture.start(three);
        fixture.awaitOpenSessions(2);
        fixture.await(() -> countWithSession(three) == 2);
        fixture.advanceClock(400); // more than a heartbeat interval
        assertEquals(2, OnLoop.get(fixture.loop, fixture.client::openSessions));
        assertEquals(2, countWithSession(three), "with different control planes");
    }

    @Test
    void addressesOfFurtherControlPlanesAreTakenFromAcknowledgements() throws Exception {
        FakeControlPlane unknown = fixture.controlPlane();
        FakeControlPlane seed = fixture.controlPlane().withControlAddresses(unknown.address());
        fixture.start(seed);
        seed.session();
        assertEquals(SELF, unknown.session().open().member);
        fixture.awaitOpenSessions(2);
    }

    @Test
    void anUnreachableControlPlaneIsSkippedAndRetriedLater() throws Exception {
        ReservedPort unreachable = new ReservedPort();
        FakeControlPlane control = fixture.controlPlane();
        OnLoop.run(fixture.loop, () -> fixture.client.setSeeds(List.of(unreachable.addressText())));
        fixture.start(control);
        control.session();
        fixture.awaitOpenSessions(1);
        try (unreachable;
                ServerSocket later = unreachable.listen()) {
            fixture.awaitConnection(unreachable.address());
            later.setSoTimeout(TestPeer.TIMEOUT_S * 1_000);
            later.accept().close();
        }
    }

    @Test
    void aBrokenSessionIsReplacedByOneWithAnotherControlPlane() throws Exception {
        List<FakeControlPlane> used =
                new ArrayList<>(List.of(fixture.controlPlane(), fixture.controlPlane(), fixture.controlPlane()));
        fixture.start(used.toArray(FakeControlPlane[]::new));
        fixture.awaitOpenSessions(2);
        fixture.await(() -> countWithSession(used.toArray(FakeControlPlane[]::new)) == 2);
        FakeControlPlane third = used.stream()
                .filter(FakeControlPlane::hasNoNewSession)
                .findFirst()
                .orElseThrow();
        used.remove(third);
        used.get(0).session().reset();
        assertEquals(SELF, third.session().open().member);
        assertFalse(used.get(1).session().isClosed());
    }

    /** Checks that the timeout has passed, by one heartbeat interval at most. */
    private void assertElapsed(double timeoutMs, double since) {
        double elapsedMs = fixture.now() - since;
        assertTrue(elapsedMs >= timeoutMs, "too soon: " + elapsedMs);
        assertTrue(elapsedMs <= timeoutMs + PARAMETERS.heartbeatIntervalMs(), "too late: " + elapsedMs);
    }

    @Test
    void aHeartbeatTimeoutClosesTheSession() throws Exception {
        FakeControlPlane withoutAcks = fixture.controlPlane().withoutAcks();
        FakeControlPlane withAcks = fixture.controlPlane();
        fixture.start(withoutAcks, withAcks);
        Session replaced = withoutAcks.session();
        Session remaining = withAcks.session();
        FakeControlPlane third = fixture.controlPlane();
        fixture.addSeeds(third);
        double waitStartedAt = fixture.now();
        replaced.awaitClose();
        assertElapsed(PARAMETERS.heartbeatTimeoutMs(), waitStartedAt);
        assertEquals(SELF, third.session().open().member);
        assertFalse(remaining.isClosed());
    }

    @Test
    void aControlPlaneWithoutAQuorumIsReplaced() throws Exception {
        FakeControlPlane partitioned = fixture.controlPlane().withoutQuorum();
        FakeControlPlane withQuorum = fixture.controlPlane();
        double startedAt = fixture.now();
        fixture.start(partitioned, withQuorum);
        Session replaced = partitioned.session();
        Session remaining = withQuorum.session();
        remaining.send(complete(configuration(3, safeRoute("a", 1))));
        fixture.awaitVersion(3); // with a configuration in force, the session without a quorum is no longer needed
        FakeControlPlane third = fixture.controlPlane();
        fixture.addSeeds(third);
        replaced.awaitClose();
        assertElapsed(PARAMETERS.quorumTimeoutMs(), startedAt);
        assertEquals(SELF, third.session().open().member);
        fixture.advanceClock(700);
        assertTrue(partitioned.hasNoNewSession(), "it is not in backoff");
        assertFalse(remaining.isClosed());
    }

    /** An acknowledgement reports a quorum as of the time of its heartbeat, however late it arrives. */
    @Test
    void acknowledgementsOfAnOldHeartbeatDoNotProveAQuorum() throws Exception {
        FakeControlPlane late = fixture.controlPlane().withoutAcks();
        FakeControlPlane withQuorum = fixture.controlPlane();
        fixture.start(late, withQuorum);
        Session replaced = late.session();
        withQuorum.session().send(complete(configuration(3, safeRoute("a", 1))));
        fixture.awaitVersion(3);
        fixture.addSeeds(fixture.controlPlane());
        long first = replaced.heartbeat().sequence;
        for (int acks = 0; !replaced.isClosed(); acks++) {
            assertTrue(acks < 60, "acknowledgements of the first heartbeat keep the session open");
            replaced.sendIfOpen(new HeartbeatAck(first, true, List.of()));
            fixture.advanceClock(100);
        }
    }

    @Test
    void aSessionWithoutAQuorumIsKeptOpenWithoutAnAlternative() throws Exception {
        useContactTime(800);
        FakeControlPlane one = fixture.controlPlane().withoutQuorum();
        FakeControlPlane two = fixture.controlPlane().withoutQuorum();
        fixture.start(one, two);
        Session first = one.session();
        Session second = two.session();
        fixture.advanceClock(2_200);
        assertFalse(first.isClosed() || second.isClosed());
        Configuration newest = configuration(7, safeRoute("a", 1));
        first.send(complete(newest));
        fixture.awaitVersion(7); // a chosen value is valid even if its sender has no quorum
    }

    /** After a restart of the whole fleet there may be no quorum: stale updates are applied after the deferral. */
    @Test
    void withoutAConfigurationAStaleUpdateIsDeferred() throws Exception {
        useContactTime(2_000);
        FakeControlPlane partitioned = fixture.controlPlane().withoutQuorum();
        double startedAt = fixture.now();
        fixture.start(partitioned);
        Session session = partitioned.session();
        session.heartbeat();
        session.heartbeat(); // the first acknowledgement has reported that there is no quorum
        session.send(complete(configuration(7, safeRoute("a", 1))));
        fixture.awaitVersion(7);
        assertElapsed(1_000, startedAt); // half of the contact time
    }

    /** The partitioned control plane is connected first and sends first; its stale configuration never takes effect. */
    @Test
    void withoutAConfigurationAnUpdateFromAQuorumIsAwaited() throws Exception {
        FakeControlPlane partitioned = fixture.controlPlane().withoutQuorum();
        fixture.start(partitioned);
        Session first = partitioned.session();
        first.heartbeat();
        first.heartbeat();
        Configuration stale = configuration(3, safeRoute("old", 1));
        first.send(complete(stale));
        first.send(endpoints(endpointList(FIRST_LIST), List.of(SELF)));
        first.heartbeat();
        first.heartbeat();
        assertEquals(0, OnLoop.get(fixture.loop, fixture.metadata::configurationVersion));
        assertFalse(OnLoop.get(fixture.loop, fixture.metadata::isComplete));
        FakeControlPlane fresh = fixture.controlPlane();
        fixture.addSeeds(fresh);
        Session session = fresh.session();
        session.send(complete(configuration(7, safeRoute("new", 1))));
        fixture.awaitVersion(7);
        fixture.await(() -> fixture.metadata.listVersion().equals(FIRST_LIST)); // the deferred updates follow
        assertEquals(7, fixture.metadata.configurationVersion());
        assertEquals("new", fixture.metadata.routes().find(HOST, "/new/").name());
    }

    /** Both sessions may be with partitioned control planes, so extra sessions are opened. */
    @Test
    void withoutAConfigurationExtraSessionsBypassPartitionedControlPlanes() throws Exception {
        FakeControlPlane one = fixture.controlPlane().withoutQuorum();
        FakeControlPlane two = fixture.controlPlane().withoutQuorum();
        fixture.start(one, two);
        Session first = one.session();
        Session second = two.session();
        FakeControlPlane fresh = fixture.controlPlane();
        fixture.addSeeds(fresh);
        Session third = fresh.session();
        assertFalse(first.isClosed() || second.isClosed());
        third.send(complete(configuration(7, safeRoute("new", 1))));
        fixture.awaitVersion(7);
        fixture.awaitOpenSessions(2);
        assertFalse(third.isClosed());
    }

    /**
     * A partitioned control plane reports only the members of its own sessions, and the retry budget is divided by the
     * number of members.
     */
    @Test
    void membersAreTakenFromAControlPlaneWithAQuorum() throws Exception {
        Member other = new Member("n2", Member.DATA, "10.0.0.8:1", "z", 4);
        FakeControlPlane withQuorum = fixture.controlPlane();
        FakeControlPlane alone = fixture.controlPlane().withoutQuorum();
        fixture.start(withQuorum, alone);
        Session good = withQuorum.session();
        Session partitioned = alone.session();
        good.send(complete(configuration(7, safeRoute("a", 1))));
        good.send(members(List.of(SELF, other)));
        fixture.await(() -> fixture.metadata.members().size() == 2);
        partitioned.heartbeat();
        partitioned.heartbeat();
        partitioned.send(endpoints(endpointList(FIRST_LIST), List.of(SELF)));
        fixture.await(fixture.metadata::isComplete); // its members have been handled then
        assertEquals(2, fixture.metadata.members().size());
        good.reset();
        fixture.await(() -> fixture.metadata.members().size() == 1);
    }

    /** The addresses of 64 machines that were replaced must not prevent the use of a 65th address. */
    @Test
    void seedsBeyondMaxAddressesEvictOlderAddresses() throws Exception {
        OnLoop.run(fixture.loop, () -> {
            for (int machine = 0; machine < 80; machine++) {
                fixture.client.setSeeds(List.of("127.0.1." + machine + ":1"));
            }
            assertEquals(64, fixture.client.addressCount());
        });
    }

    @Test
    void aClosedClientClosesItsSessionsAndOpensNone() throws Exception {
        FakeControlPlane one = fixture.controlPlane();
        FakeControlPlane two = fixture.controlPlane();
        fixture.start(one, two);
        Session first = one.session();
        Session second = two.session();
        fixture.awaitOpenSessions(2);
        OnLoop.run(fixture.loop, fixture.client::close);
        first.awaitClose();
        second.awaitClose();
        fixture.advanceClock(700);
        assertTrue(one.hasNoNewSession() && two.hasNoNewSession());
    }
}
