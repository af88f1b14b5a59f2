package dewplank.dataplane;

import static dewplank.dataplane.ForwarderFixture.PLAIN;
import static dewplank.dataplane.ForwarderFixture.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.DeflateCodec;
import dewplank.dataplane.FakeControlPlane.Session;
import dewplank.exchange.OnLoop;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetMessages;
import dewplank.message.FleetUpdate;
import dewplank.message.HeartbeatAck;
import dewplank.message.SessionHeartbeat;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A data plane's sessions with stand-ins for control sidecars. */
class SessionClientTest {
    /** So long that no test meets the end of it by chance; those that want it set it themselves. */
    private static final double CONTACT_MS = 120_000;

    private static final Member SELF = new Member("n1", Member.DATA, "10.0.0.9:1", "z", 17);

    private EventLoop loop;
    private FleetMetadata view;
    private SessionClient client;
    private final AtomicInteger changes = new AtomicInteger();
    private final List<FakeControlPlane> controls = new ArrayList<>();

    @BeforeEach
    void begin() throws IOException {
        loop = new EventLoop();
        view = new FleetMetadata(loop);
        client = client(CONTACT_MS);
    }

    private SessionClient client(double contactMs) {
        return new SessionClient(
                loop,
                new TcpTransport(loop, FleetMessages.codec()),
                SELF,
                view,
                new SplittableRandom(3),
                contactMs,
                changes::incrementAndGet);
    }

    @AfterEach
    void end() throws IOException {
        loop.stop();
        for (FakeControlPlane control : controls) {
            control.close();
        }
    }

    private FakeControlPlane control() throws IOException {
        controls.add(new FakeControlPlane());
        return controls.get(controls.size() - 1);
    }

    private void start(FakeControlPlane... known) throws Exception {
        OnLoop.run(loop, () -> {
            for (FakeControlPlane control : known) {
                client.setSeeds(List.of(control.address()));
            }
            client.start();
        });
    }

    private static Configuration configuration(long version, String... routes) throws Exception {
        return ForwarderFixture.parse(version, 1_000, routes);
    }

    private static FleetUpdate whole(Configuration c) {
        return new FleetUpdate(DeflateCodec.deflate(c.json()), c.version(), 0, null, null);
    }

    private static FleetUpdate delta(Configuration from, Configuration to) {
        return new FleetUpdate(
                DeflateCodec.deflate(ConfigurationDelta.between(from, to)), to.version(), from.version(), null, null);
    }

    private void awaitVersion(long version) throws Exception {
        OnLoop.await(loop, () -> view.configurationVersion() == version);
    }

    // ---- what is asked and taken ----------------------------------------------------------------------

    @Test
    void aSessionOpensWithItsMemberAndAsksWithWhatIsHeld() throws Exception {
        FakeControlPlane control = control();
        start(control);
        Session session = control.session();
        assertEquals(SELF, session.open().member);
        SessionHeartbeat first = session.question();
        assertEquals(0, first.configurationVersion);
        assertEquals(EndpointListVersion.NONE, first.listVersion);
        assertEquals(0, first.membersDigest);
        List<Member> members = List.of(SELF, new Member("n2", Member.CONTROL, "10.0.0.8:1", "z", 4));
        Endpoint entry = new Endpoint("i", PLAIN, "127.0.0.1:9", "z", 4, false, 0, null);
        Configuration config = configuration(7, route("r", "safe", PLAIN, 1));
        session.send(new FleetUpdate(
                DeflateCodec.deflate(config.json()),
                7,
                0,
                new EndpointList(new EndpointListVersion(2, 5), List.of(entry)),
                members));
        SessionHeartbeat next = session.questionHolding(7);
        assertTrue(next.sequence > first.sequence);
        assertEquals(new EndpointListVersion(2, 5), next.listVersion);
        assertEquals(SessionTable.digest(members), next.membersDigest);
        assertEquals("r", view.routes().find(ForwarderFixture.HOST, "/r/").name());
        assertEquals(1, OnLoop.get(loop, () -> view.servers(PLAIN).size()));
        assertEquals(members, view.members());
        assertTrue(view.isComplete());
        assertEquals(1, changes.get());
    }

    @Test
    void partsOfAnUpdateThatAreAbsentStayAsTheyWere() throws Exception {
        FakeControlPlane control = control();
        start(control);
        Session session = control.session();
        session.send(whole(configuration(7, route("r", "safe", PLAIN, 1))));
        session.questionHolding(7);
        session.send(new FleetUpdate(null, 0, 0, new EndpointList(new EndpointListVersion(1, 1), List.of()), null));
        OnLoop.await(loop, view::isComplete);
        session.send(new FleetUpdate(null, 0, 0, null, List.of(SELF)));
        OnLoop.await(loop, () -> view.members().size() == 1);
        assertEquals(7, view.configurationVersion());
        assertEquals(new EndpointListVersion(1, 1), view.listVersion());
    }

    @Test
    void aDifferenceLeadsToTheNextVersion() throws Exception {
        FakeControlPlane control = control();
        start(control);
        Session session = control.session();
        Configuration first = configuration(7, route("a", "safe", PLAIN, 1), route("b", "safe", PLAIN, 1));
        Configuration second = configuration(8, route("b", "safe", PLAIN, 1), route("c", "unsafe", PLAIN, 2));
        session.send(whole(first));
        session.questionHolding(7);
        session.send(delta(first, second));
        session.questionHolding(8);
        assertNull(view.routes().find(ForwarderFixture.HOST, "/a/"));
        assertEquals("c", view.routes().find(ForwarderFixture.HOST, "/c/").name());
        assertEquals(
                new String(second.json(), StandardCharsets.UTF_8),
                new String(view.configuration().json(), StandardCharsets.UTF_8));
    }

    /** The difference is of a version that is not held: the session ends, and the next one asks for what is missing. */
    @Test
    void aDifferenceOfAnotherVersionEndsItsSession() throws Exception {
        FakeControlPlane control = control();
        start(control);
        Session session = control.session();
        Configuration held = configuration(3, route("a", "safe", PLAIN, 1));
        Configuration other = configuration(7, route("b", "safe", PLAIN, 1));
        Configuration newest = configuration(8, route("c", "safe", PLAIN, 1));
        session.send(whole(held));
        session.questionHolding(3);
        session.send(delta(other, newest));
        session.awaitEnd();
        assertEquals(3, view.configurationVersion());
        Session next = control.session();
        assertEquals(SELF, next.open().member);
        assertEquals(3, next.question().configurationVersion);
        next.send(whole(newest));
        awaitVersion(8);
        assertFalse(next.isEnded());
    }

    @Test
    void anUpdateThatCannotBeReadEndsItsSessionAndChangesNothing() throws Exception {
        FakeControlPlane control = control();
        start(control);
        Configuration held = configuration(3, route("a", "safe", PLAIN, 1));
        Session session = control.session();
        session.send(whole(held));
        session.questionHolding(3);
        for (byte[] bad : new byte[][] {{1, 2, 3}, DeflateCodec.deflate("{}".getBytes(StandardCharsets.UTF_8))}) {
            session.send(new FleetUpdate(bad, 9, 0, null, null));
            session.awaitEnd();
            session = control.session();
            assertEquals(3, session.question().configurationVersion);
        }
        session.send(new FleetUpdate(DeflateCodec.deflate(new byte[] {1, 2, 3}), 9, 3, null, null));
        session.awaitEnd();
        assertEquals("a", view.routes().find(ForwarderFixture.HOST, "/a/").name());
    }

    /** Two sessions bring the same news, one later than the other: the later one is no trouble. */
    @Test
    void whatTheOtherSessionBroughtFirstIsPassedOver() throws Exception {
        FakeControlPlane one = control();
        FakeControlPlane two = control();
        start(one, two);
        Session fast = one.session();
        Session slow = two.session();
        Configuration first = configuration(7, route("a", "safe", PLAIN, 1));
        Configuration second = configuration(8, route("b", "safe", PLAIN, 1));
        fast.send(whole(first));
        awaitVersion(7);
        fast.send(delta(first, second));
        awaitVersion(8);
        slow.send(delta(first, second));
        slow.send(whole(first));
        slow.send(new FleetUpdate(
                new byte[] {1, 2, 3}, 8, 0, new EndpointList(new EndpointListVersion(1, 1), List.of()), null));
        OnLoop.await(loop, view::isComplete); // so all before it was looked at
        assertEquals(8, view.configurationVersion());
        assertEquals("b", view.routes().find(ForwarderFixture.HOST, "/b/").name());
        assertFalse(slow.isEnded());
        assertEquals(2, OnLoop.get(loop, client::openSessions));
    }

    // ---- which control sidecars -----------------------------------------------------------------------

    @Test
    void twoSessionsStandAndNoMore() throws Exception {
        FakeControlPlane[] three = {control(), control(), control()};
        start(three);
        OnLoop.await(loop, () -> client.openSessions() == 2);
        OnLoop.pass(loop, 400); // a beat
        assertEquals(2, OnLoop.get(loop, client::openSessions));
        int used = 0;
        for (FakeControlPlane control : three) {
            used += control.hasNoFurtherSession() ? 0 : 1;
        }
        assertEquals(2, used, "with different control sidecars");
    }

    @Test
    void furtherControlSidecarsAreLearnt() throws Exception {
        FakeControlPlane unknown = control();
        FakeControlPlane seed = control().knowing(unknown.address());
        start(seed);
        seed.session();
        assertEquals(SELF, unknown.session().open().member);
        OnLoop.await(loop, () -> client.openSessions() == 2);
    }

    @Test
    void oneThatCannotBeReachedIsPassedByAndTriedAgain() throws Exception {
        ServerSocket nobody = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        nobody.close();
        FakeControlPlane control = control();
        OnLoop.run(loop, () -> client.setSeeds(List.of("127.0.0.1:" + nobody.getLocalPort())));
        start(control);
        control.session();
        OnLoop.await(loop, () -> client.openSessions() == 1);
        try (ServerSocket later = new ServerSocket(nobody.getLocalPort(), 5, InetAddress.getLoopbackAddress())) {
            later.accept().close();
        }
    }

    @Test
    void aSessionThatBreaksIsFollowedByOneWithAnother() throws Exception {
        List<FakeControlPlane> used = new ArrayList<>(List.of(control(), control(), control()));
        start(used.toArray(FakeControlPlane[]::new));
        OnLoop.await(loop, () -> client.openSessions() == 2);
        OnLoop.await(
                loop,
                () -> used.stream()
                                .filter(FakeControlPlane::hasNoFurtherSession)
                                .count()
                        == 1);
        FakeControlPlane third = used.stream()
                .filter(FakeControlPlane::hasNoFurtherSession)
                .findFirst()
                .orElseThrow();
        used.remove(third);
        used.get(0).session().reset();
        assertEquals(SELF, third.session().open().member);
        assertFalse(used.get(1).session().isEnded());
    }

    @Test
    void aSilentControlSidecarIsLeft() throws Exception {
        FakeControlPlane silent = control().silent();
        FakeControlPlane speaking = control();
        start(silent, speaking);
        Session left = silent.session();
        Session kept = speaking.session();
        FakeControlPlane third = control();
        OnLoop.run(loop, () -> client.setSeeds(List.of(third.address())));
        left.awaitEnd();
        assertEquals(SELF, third.session().open().member);
        assertFalse(kept.isEnded());
    }

    @Test
    void oneWithoutAQuorumIsLeftForAnother() throws Exception {
        FakeControlPlane lost = control().withoutQuorum();
        FakeControlPlane quorate = control();
        start(lost, quorate);
        Session left = lost.session();
        Session kept = quorate.session();
        kept.send(whole(configuration(3, route("a", "safe", PLAIN, 1))));
        awaitVersion(3); // who holds something need not keep it as a last hope
        FakeControlPlane third = control();
        OnLoop.run(loop, () -> client.setSeeds(List.of(third.address())));
        left.awaitEnd();
        assertEquals(SELF, third.session().open().member);
        OnLoop.pass(loop, 700);
        assertTrue(lost.hasNoFurtherSession(), "it is let be for a while");
        assertFalse(kept.isEnded());
    }

    /** What a control sidecar said of its quorum holds for the time of the question, however late it comes. */
    @Test
    void answersToAnOldQuestionDoNotShowAQuorumNow() throws Exception {
        FakeControlPlane late = control().silent();
        FakeControlPlane quorate = control();
        start(late, quorate);
        Session left = late.session();
        quorate.session().send(whole(configuration(3, route("a", "safe", PLAIN, 1))));
        awaitVersion(3);
        OnLoop.run(loop, () -> client.setSeeds(List.of(controlAddress())));
        long first = left.question().sequence;
        for (int beats = 0; !left.isEnded(); beats++) {
            assertTrue(beats < 60, "it is kept by answers to its first question");
            left.sendIfOpen(new HeartbeatAck(first, true, List.of()));
            OnLoop.pass(loop, 100);
        }
    }

    private String controlAddress() {
        try {
            return control().address();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void oneWithoutAQuorumIsKeptWhereThereIsNoOther() throws Exception {
        FakeControlPlane one = control().withoutQuorum();
        FakeControlPlane two = control().withoutQuorum();
        client = client(800);
        start(one, two);
        Session first = one.session();
        Session second = two.session();
        OnLoop.pass(loop, 2_200);
        assertFalse(first.isEnded() || second.isEnded());
        Configuration news = configuration(7, route("a", "safe", PLAIN, 1));
        first.send(whole(news));
        awaitVersion(7); // what is chosen is true, quorum or not
    }

    /** After a restart of everything there may be no quorum for a while: what there is serves, after a time. */
    @Test
    void whoHoldsNothingTakesOldStateOnlyAfterATime() throws Exception {
        FakeControlPlane cutOff = control().withoutQuorum();
        client = client(2_000);
        start(cutOff);
        Session session = cutOff.session();
        double startedAt = OnLoop.get(loop, loop::now);
        session.question();
        session.question(); // the first answer has told that there is no quorum
        session.send(whole(configuration(7, route("a", "safe", PLAIN, 1))));
        awaitVersion(7);
        assertTrue(OnLoop.get(loop, loop::now) - startedAt >= 900, "it was taken too soon");
    }

    /** The cut-off one is asked first and tells first; what it tells is never in force here. */
    @Test
    void whoHoldsNothingWaitsForOneWithAQuorum() throws Exception {
        FakeControlPlane cutOff = control().withoutQuorum();
        start(cutOff);
        Session old = cutOff.session();
        old.question();
        old.question();
        Configuration stale = configuration(3, route("old", "safe", PLAIN, 1));
        old.send(whole(stale));
        old.send(
                new FleetUpdate(null, 0, 0, new EndpointList(new EndpointListVersion(1, 1), List.of()), List.of(SELF)));
        old.question();
        old.question();
        assertEquals(0, OnLoop.get(loop, view::configurationVersion));
        assertFalse(OnLoop.get(loop, view::isComplete));
        FakeControlPlane fresh = control();
        OnLoop.run(loop, () -> client.setSeeds(List.of(fresh.address())));
        Session session = fresh.session();
        session.send(whole(configuration(7, route("new", "safe", PLAIN, 1))));
        awaitVersion(7);
        OnLoop.await(
                loop, () -> view.listVersion().equals(new EndpointListVersion(1, 1))); // the old one's updates follow
        assertEquals(7, view.configurationVersion());
        assertEquals("new", view.routes().find(ForwarderFixture.HOST, "/new/").name());
    }

    /** Both sessions may be with cut-off ones: while nothing is held another is asked beside them. */
    @Test
    void whoHoldsNothingAsksBeyondTwoThatAreCutOff() throws Exception {
        FakeControlPlane one = control().withoutQuorum();
        FakeControlPlane two = control().withoutQuorum();
        start(one, two);
        Session first = one.session();
        Session second = two.session();
        FakeControlPlane fresh = control();
        OnLoop.run(loop, () -> client.setSeeds(List.of(fresh.address())));
        Session third = fresh.session();
        assertFalse(first.isEnded() || second.isEnded());
        third.send(whole(configuration(7, route("new", "safe", PLAIN, 1))));
        awaitVersion(7);
        OnLoop.await(loop, () -> client.openSessions() == 2);
        assertFalse(third.isEnded());
    }

    /** One that is cut off hears of no sessions but its own; the budget of retries is divided by the members known. */
    @Test
    void membersAreTakenFromOneWithAQuorum() throws Exception {
        Member other = new Member("n2", Member.DATA, "10.0.0.8:1", "z", 4);
        FakeControlPlane quorate = control();
        FakeControlPlane lost = control().withoutQuorum();
        start(quorate, lost);
        Session good = quorate.session();
        Session cutOff = lost.session();
        good.send(whole(configuration(7, route("a", "safe", PLAIN, 1))));
        good.send(new FleetUpdate(null, 0, 0, null, List.of(SELF, other)));
        OnLoop.await(loop, () -> view.members().size() == 2);
        cutOff.question();
        cutOff.question();
        cutOff.send(
                new FleetUpdate(null, 0, 0, new EndpointList(new EndpointListVersion(1, 1), List.of()), List.of(SELF)));
        OnLoop.await(loop, view::isComplete); // so its members were looked at
        assertEquals(2, view.members().size());
        good.reset();
        OnLoop.await(loop, () -> view.members().size() == 1);
    }

    /** 64 machines that were replaced must not keep a data plane from learning the 65th. */
    @Test
    void addressesThatNobodyVouchesForMakeRoom() throws Exception {
        OnLoop.run(loop, () -> {
            for (int i = 0; i < 80; i++) {
                client.setSeeds(List.of("127.0.1." + i + ":1"));
            }
            assertEquals(64, client.addressCount());
        });
    }

    @Test
    void aClosedClientEndsItsSessionsAndOpensNone() throws Exception {
        FakeControlPlane one = control();
        FakeControlPlane two = control();
        start(one, two);
        Session first = one.session();
        Session second = two.session();
        OnLoop.await(loop, () -> client.openSessions() == 2);
        OnLoop.run(loop, client::close);
        first.awaitEnd();
        second.awaitEnd();
        OnLoop.pass(loop, 700);
        assertTrue(one.hasNoFurtherSession() && two.hasNoFurtherSession());
    }
}
