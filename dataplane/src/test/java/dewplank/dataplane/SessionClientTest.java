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
import dewplank.exchange.Wire;
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
    /** So long that it does not elapse during a test; tests that need it to elapse set a shorter time. */
    private static final double CONTACT_MS = 120_000;

    private static final SessionParameters PARAMETERS = SessionParameters.DEFAULTS;

    private static final EndpointListVersion FIRST_LIST = new EndpointListVersion(1, 1);

    private SessionFixture net;

    @BeforeEach
    void begin() throws IOException {
        net = new SessionFixture(CONTACT_MS);
    }

    private void useContactTime(double contactMs) throws IOException {
        net.close();
        net = new SessionFixture(contactMs);
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    // ---- heartbeats and updates ----------------------------------------------------------------------

    @Test
    void aSessionOpensWithItsMemberAndHeartbeatsCarryTheVersionsInForce() throws Exception {
        Session session = net.startSession();
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
        assertEquals("r", net.metadata.routes().find(HOST, "/r/").name());
        assertEquals(1, OnLoop.get(net.loop, () -> net.metadata.servers(PLAIN).size()));
        assertEquals(members, net.metadata.members());
        assertTrue(net.metadata.isComplete());
        assertEquals(1, net.changes.get());
    }

    @Test
    void absentSectionsOfAnUpdateHaveNoEffect() throws Exception {
        Session session = net.startSession();
        session.send(complete(configuration(7, safeRoute("r", 1))));
        session.heartbeatWithVersion(7);
        session.send(endpoints(endpointList(FIRST_LIST), null));
        net.await(net.metadata::isComplete);
        session.send(members(List.of(SELF)));
        net.await(() -> net.metadata.members().size() == 1);
        assertEquals(7, net.metadata.configurationVersion());
        assertEquals(FIRST_LIST, net.metadata.listVersion());
    }

    @Test
    void aDeltaIsAppliedToTheVersionInForce() throws Exception {
        Session session = net.startSession();
        Configuration first = configuration(7, safeRoute("a", 1), safeRoute("b", 1));
        Configuration second = configuration(8, safeRoute("b", 1), unsafeRoute("c", 2));
        session.send(complete(first));
        session.heartbeatWithVersion(7);
        session.send(delta(first, second));
        session.heartbeatWithVersion(8);
        assertNull(net.metadata.routes().find(HOST, "/a/"));
        assertEquals("c", net.metadata.routes().find(HOST, "/c/").name());
        assertEquals(
                new String(second.json(), StandardCharsets.UTF_8),
                new String(net.metadata.configuration().json(), StandardCharsets.UTF_8));
    }

    /**
     * The delta is based on a version that is not in force: the session is closed, and the next one delivers the
     * missing configuration.
     */
    @Test
    void aDeltaFromAnotherVersionClosesItsSession() throws Exception {
        FakeControlPlane control = net.controlPlane();
        net.start(control);
        Session session = control.session();
        Configuration inForce = configuration(3, safeRoute("a", 1));
        Configuration other = configuration(7, safeRoute("b", 1));
        Configuration newest = configuration(8, safeRoute("c", 1));
        session.send(complete(inForce));
        session.heartbeatWithVersion(3);
        session.send(delta(other, newest));
        session.awaitEnd();
        assertEquals(3, net.metadata.configurationVersion());
        Session next = control.session();
        assertEquals(SELF, next.open().member);
        assertEquals(3, next.heartbeat().configurationVersion);
        next.send(complete(newest));
        net.awaitVersion(8);
        assertFalse(next.isEnded());
    }

    @Test
    void aMalformedUpdateClosesItsSessionAndIsNotApplied() throws Exception {
        FakeControlPlane control = net.controlPlane();
        net.start(control);
        Configuration inForce = configuration(3, safeRoute("a", 1));
        Session session = control.session();
        session.send(complete(inForce));
        session.heartbeatWithVersion(3);
        for (byte[] malformed : new byte[][] {{1, 2, 3}, DeflateCodec.deflate("{}".getBytes(StandardCharsets.UTF_8))}) {
            session.send(new FleetUpdate(malformed, 9, 0, null, null));
            session.awaitEnd();
            session = control.session();
            assertEquals(3, session.heartbeat().configurationVersion);
        }
        session.send(new FleetUpdate(DeflateCodec.deflate(new byte[] {1, 2, 3}), 9, 3, null, null));
        session.awaitEnd();
        assertEquals("a", net.metadata.routes().find(HOST, "/a/").name());
    }

    /** Two sessions deliver the same updates at different times: the later delivery is not an error. */
    @Test
    void anUpdateThatAnotherSessionDeliveredFirstIsSkipped() throws Exception {
        FakeControlPlane one = net.controlPlane();
        FakeControlPlane two = net.controlPlane();
        net.start(one, two);
        Session fast = one.session();
        Session slow = two.session();
        Configuration first = configuration(7, safeRoute("a", 1));
        Configuration second = configuration(8, safeRoute("b", 1));
        fast.send(complete(first));
        net.awaitVersion(7);
        fast.send(delta(first, second));
        net.awaitVersion(8);
        slow.send(delta(first, second));
        slow.send(complete(first));
        slow.send(new FleetUpdate(new byte[] {1, 2, 3}, 8, 0, endpointList(FIRST_LIST), null));
        net.await(net.metadata::isComplete); // all updates before it have been handled then
        assertEquals(8, net.metadata.configurationVersion());
        assertEquals("b", net.metadata.routes().find(HOST, "/b/").name());
        assertFalse(slow.isEnded());
        assertEquals(2, OnLoop.get(net.loop, net.client::openSessions));
    }

    // ---- selection of control planes ------------------------------------------------------------------

    private static long countWithSession(FakeControlPlane... controlPlanes) {
        return Arrays.stream(controlPlanes)
                .filter(controlPlane -> !controlPlane.hasNoNewSession())
                .count();
    }

    @Test
    void twoSessionsAreKeptOpenWithDifferentControlPlanes() throws Exception {
        FakeControlPlane[] three = {net.controlPlane(), net.controlPlane(), net.controlPlane()};
        net.start(three);
        net.awaitOpenSessions(2);
        net.await(() -> countWithSession(three) == 2);
        net.pass(400); // more than a heartbeat interval
        assertEquals(2, OnLoop.get(net.loop, net.client::openSessions));
        assertEquals(2, countWithSession(three), "with different control planes");
    }

    @Test
    void addressesOfFurtherControlPlanesAreTakenFromAcks() throws Exception {
        FakeControlPlane unknown = net.controlPlane();
        FakeControlPlane seed = net.controlPlane().withControlAddresses(unknown.address());
        net.start(seed);
        seed.session();
        assertEquals(SELF, unknown.session().open().member);
        net.awaitOpenSessions(2);
    }

    @Test
    void anUnreachableControlPlaneIsSkippedAndRetriedLater() throws Exception {
        ReservedPort unreachable = new ReservedPort();
        FakeControlPlane control = net.controlPlane();
        OnLoop.run(net.loop, () -> net.client.setSeeds(List.of(unreachable.addressText())));
        net.start(control);
        control.session();
        net.awaitOpenSessions(1);
        try (unreachable;
                ServerSocket later = unreachable.listen()) {
            net.awaitConnection(unreachable.address());
            later.setSoTimeout(Wire.PATIENCE_S * 1_000);
            later.accept().close();
        }
    }

    @Test
    void aBrokenSessionIsReplacedByOneWithAnotherControlPlane() throws Exception {
        List<FakeControlPlane> used =
                new ArrayList<>(List.of(net.controlPlane(), net.controlPlane(), net.controlPlane()));
        net.start(used.toArray(FakeControlPlane[]::new));
        net.awaitOpenSessions(2);
        net.await(() -> countWithSession(used.toArray(FakeControlPlane[]::new)) == 2);
        FakeControlPlane third = used.stream()
                .filter(FakeControlPlane::hasNoNewSession)
                .findFirst()
                .orElseThrow();
        used.remove(third);
        used.get(0).session().reset();
        assertEquals(SELF, third.session().open().member);
        assertFalse(used.get(1).session().isEnded());
    }

    /** Checks that the timeout was exceeded, by at most one heartbeat interval. */
    private void assertElapsed(double timeoutMs, double since) {
        double elapsedMs = net.now() - since;
        assertTrue(elapsedMs >= timeoutMs, "too soon: " + elapsedMs);
        assertTrue(elapsedMs <= timeoutMs + PARAMETERS.heartbeatIntervalMs(), "too late: " + elapsedMs);
    }

    @Test
    void aHeartbeatTimeoutClosesTheSession() throws Exception {
        FakeControlPlane withoutAcks = net.controlPlane().withoutAcks();
        FakeControlPlane withAcks = net.controlPlane();
        net.start(withoutAcks, withAcks);
        Session replaced = withoutAcks.session();
        Session remaining = withAcks.session();
        FakeControlPlane third = net.controlPlane();
        net.addSeeds(third);
        double waitStartedAt = net.now();
        replaced.awaitEnd();
        assertElapsed(PARAMETERS.heartbeatTimeoutMs(), waitStartedAt);
        assertEquals(SELF, third.session().open().member);
        assertFalse(remaining.isEnded());
    }

    @Test
    void aControlPlaneWithoutAQuorumIsReplaced() throws Exception {
        FakeControlPlane partitioned = net.controlPlane().withoutQuorum();
        FakeControlPlane withQuorum = net.controlPlane();
        double startedAt = net.now();
        net.start(partitioned, withQuorum);
        Session replaced = partitioned.session();
        Session remaining = withQuorum.session();
        remaining.send(complete(configuration(3, safeRoute("a", 1))));
        net.awaitVersion(3); // with a configuration in force, the session without a quorum is no longer needed
        FakeControlPlane third = net.controlPlane();
        net.addSeeds(third);
        replaced.awaitEnd();
        assertElapsed(PARAMETERS.quorumTimeoutMs(), startedAt);
        assertEquals(SELF, third.session().open().member);
        net.pass(700);
        assertTrue(partitioned.hasNoNewSession(), "it is not in backoff");
        assertFalse(remaining.isEnded());
    }

    /** An ack reports a quorum as of the time of its heartbeat, however late it arrives. */
    @Test
    void acksOfAnOldHeartbeatDoNotProveAQuorum() throws Exception {
        FakeControlPlane late = net.controlPlane().withoutAcks();
        FakeControlPlane withQuorum = net.controlPlane();
        net.start(late, withQuorum);
        Session replaced = late.session();
        withQuorum.session().send(complete(configuration(3, safeRoute("a", 1))));
        net.awaitVersion(3);
        net.addSeeds(net.controlPlane());
        long first = replaced.heartbeat().sequence;
        for (int acks = 0; !replaced.isEnded(); acks++) {
            assertTrue(acks < 60, "acks of the first heartbeat keep the session open");
            replaced.sendIfOpen(new HeartbeatAck(first, true, List.of()));
            net.pass(100);
        }
    }

    @Test
    void aSessionWithoutAQuorumIsKeptOpenWithoutAnAlternative() throws Exception {
        useContactTime(800);
        FakeControlPlane one = net.controlPlane().withoutQuorum();
        FakeControlPlane two = net.controlPlane().withoutQuorum();
        net.start(one, two);
        Session first = one.session();
        Session second = two.session();
        net.pass(2_200);
        assertFalse(first.isEnded() || second.isEnded());
        Configuration newest = configuration(7, safeRoute("a", 1));
        first.send(complete(newest));
        net.awaitVersion(7); // a chosen value is valid even if its sender has no quorum
    }

    /** After a restart of the whole fleet there may be no quorum: stale updates are applied after the deferral. */
    @Test
    void withoutAConfigurationAStaleUpdateIsDeferred() throws Exception {
        useContactTime(2_000);
        FakeControlPlane partitioned = net.controlPlane().withoutQuorum();
        double startedAt = net.now();
        net.start(partitioned);
        Session session = partitioned.session();
        session.heartbeat();
        session.heartbeat(); // the first ack has reported that there is no quorum
        session.send(complete(configuration(7, safeRoute("a", 1))));
        net.awaitVersion(7);
        assertElapsed(1_000, startedAt); // half of the contact time
    }

    /** The partitioned control plane is connected first and sends first; its stale configuration never takes effect. */
    @Test
    void withoutAConfigurationAnUpdateFromAQuorumIsAwaited() throws Exception {
        FakeControlPlane partitioned = net.controlPlane().withoutQuorum();
        net.start(partitioned);
        Session first = partitioned.session();
        first.heartbeat();
        first.heartbeat();
        Configuration stale = configuration(3, safeRoute("old", 1));
        first.send(complete(stale));
        first.send(endpoints(endpointList(FIRST_LIST), List.of(SELF)));
        first.heartbeat();
        first.heartbeat();
        assertEquals(0, OnLoop.get(net.loop, net.metadata::configurationVersion));
        assertFalse(OnLoop.get(net.loop, net.metadata::isComplete));
        FakeControlPlane fresh = net.controlPlane();
        net.addSeeds(fresh);
        Session session = fresh.session();
        session.send(complete(configuration(7, safeRoute("new", 1))));
        net.awaitVersion(7);
        net.await(() -> net.metadata.listVersion().equals(FIRST_LIST)); // the deferred updates follow
        assertEquals(7, net.metadata.configurationVersion());
        assertEquals("new", net.metadata.routes().find(HOST, "/new/").name());
    }

    /** Both sessions may be with partitioned control planes, so extra sessions are opened. */
    @Test
    void withoutAConfigurationExtraSessionsBypassPartitionedControlPlanes() throws Exception {
        FakeControlPlane one = net.controlPlane().withoutQuorum();
        FakeControlPlane two = net.controlPlane().withoutQuorum();
        net.start(one, two);
        Session first = one.session();
        Session second = two.session();
        FakeControlPlane fresh = net.controlPlane();
        net.addSeeds(fresh);
        Session third = fresh.session();
        assertFalse(first.isEnded() || second.isEnded());
        third.send(complete(configuration(7, safeRoute("new", 1))));
        net.awaitVersion(7);
        net.awaitOpenSessions(2);
        assertFalse(third.isEnded());
    }

    /**
     * A partitioned control plane reports only the members of its own sessions, and the retry budget is divided by the
     * number of members.
     */
    @Test
    void membersAreTakenFromAControlPlaneWithAQuorum() throws Exception {
        Member other = new Member("n2", Member.DATA, "10.0.0.8:1", "z", 4);
        FakeControlPlane withQuorum = net.controlPlane();
        FakeControlPlane alone = net.controlPlane().withoutQuorum();
        net.start(withQuorum, alone);
        Session good = withQuorum.session();
        Session partitioned = alone.session();
        good.send(complete(configuration(7, safeRoute("a", 1))));
        good.send(members(List.of(SELF, other)));
        net.await(() -> net.metadata.members().size() == 2);
        partitioned.heartbeat();
        partitioned.heartbeat();
        partitioned.send(endpoints(endpointList(FIRST_LIST), List.of(SELF)));
        net.await(net.metadata::isComplete); // its members have been handled then
        assertEquals(2, net.metadata.members().size());
        good.reset();
        net.await(() -> net.metadata.members().size() == 1);
    }

    /** The addresses of 64 machines that were replaced must not prevent the use of a 65th address. */
    @Test
    void seedsBeyondTheBoundEvictOlderAddresses() throws Exception {
        OnLoop.run(net.loop, () -> {
            for (int machine = 0; machine < 80; machine++) {
                net.client.setSeeds(List.of("127.0.1." + machine + ":1"));
            }
            assertEquals(64, net.client.addressCount());
        });
    }

    @Test
    void aClosedClientClosesItsSessionsAndOpensNone() throws Exception {
        FakeControlPlane one = net.controlPlane();
        FakeControlPlane two = net.controlPlane();
        net.start(one, two);
        Session first = one.session();
        Session second = two.session();
        net.awaitOpenSessions(2);
        OnLoop.run(net.loop, net.client::close);
        first.awaitEnd();
        second.awaitEnd();
        net.pass(700);
        assertTrue(one.hasNoNewSession() && two.hasNoNewSession());
    }
}
