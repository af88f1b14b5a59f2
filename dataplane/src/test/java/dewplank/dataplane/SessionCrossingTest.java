package dewplank.dataplane;

import static dewplank.dataplane.ForwarderFixture.PLAIN;
import static dewplank.dataplane.ForwarderFixture.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.configuration.DeflateCodec;
import dewplank.dataplane.FakeControlPlane.Session;
import dewplank.exchange.OnLoop;
import dewplank.membership.Member;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetMessages;
import dewplank.message.FleetUpdate;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an earlier connection, or an earlier life of a control sidecar, has sent: it is no word of the session's. */
class SessionCrossingTest {
    private static final Member SELF = new Member("n1", Member.DATA, "10.0.0.9:1", "z", 17);
    private static final double CONTACT_MS = 4_000;

    private EventLoop loop;
    private FleetMetadata view;
    private SessionClient client;
    private FakeControlPlane control;

    @BeforeEach
    void begin() throws Exception {
        loop = new EventLoop();
        view = new FleetMetadata(loop);
        client = new SessionClient(
                loop,
                new TcpTransport(loop, FleetMessages.codec()),
                SELF,
                view,
                new SplittableRandom(3),
                CONTACT_MS,
                () -> {});
        control = new FakeControlPlane();
        OnLoop.run(loop, () -> {
            client.setSeeds(List.of(control.address()));
            client.start();
        });
    }

    @AfterEach
    void end() throws IOException {
        loop.stop();
        control.close();
    }

    private static FleetUpdate whole(long version, EndpointListVersion list) throws Exception {
        Configuration c = ForwarderFixture.parse(version, 1_000, route("r" + version, "safe", PLAIN, 1));
        return new FleetUpdate(DeflateCodec.deflate(c.json()), version, 0, new EndpointList(list, List.of()), null);
    }

    private void awaitVersion(long version) throws Exception {
        OnLoop.await(loop, () -> view.configurationVersion() == version);
    }

    /** The update lies at this end when the session's own end is decided: it is looked at no more. */
    @Test
    void anUpdateThatMeetsTheEndOfItsSessionIsNotTaken() throws Exception {
        Session session = control.session();
        session.questionHolding(0);
        session.send(whole(3, new EndpointListVersion(1, 1)));
        awaitVersion(3);
        OnLoop.run(loop, () -> {
            session.send(whole(9, new EndpointListVersion(1, 9)));
            client.close();
        });
        session.awaitEnd();
        OnLoop.run(loop, () -> {});
        assertEquals(3, view.configurationVersion());
        assertEquals(new EndpointListVersion(1, 1), view.listVersion());
    }

    /** The connection breaks within an update: the next one's bytes are not taken for the rest of it. */
    @Test
    void halfAnUpdateOfAnEarlierConnectionIsForgotten() throws Exception {
        Session first = control.session();
        first.questionHolding(0);
        first.send(whole(3, new EndpointListVersion(1, 1)));
        awaitVersion(3);
        first.sendHalf(whole(9, new EndpointListVersion(1, 9)));
        first.reset();
        Session second = control.session();
        assertEquals(3, second.question().configurationVersion, "the session begins with what is held");
        second.send(whole(4, new EndpointListVersion(1, 2)));
        awaitVersion(4);
        assertEquals(new EndpointListVersion(1, 2), OnLoop.get(loop, view::listVersion));
    }

    /** A control sidecar that starts again with what its disk held tells older state: nothing goes back. */
    @Test
    void theOlderStateOfALaterLifeTakesNothingBack() throws Exception {
        Session first = control.session();
        first.questionHolding(0);
        first.send(whole(9, new EndpointListVersion(2, 5)));
        awaitVersion(9);
        first.reset();
        Session second = control.session();
        assertEquals(9, second.question().configurationVersion);
        second.send(whole(3, new EndpointListVersion(1, 8)));
        second.send(whole(8, new EndpointListVersion(2, 4)));
        second.send(new FleetUpdate(null, 0, 0, null, List.of(SELF))); // a mark behind them
        OnLoop.await(loop, () -> view.members().size() == 1);
        assertEquals(9, view.configurationVersion());
        assertEquals(new EndpointListVersion(2, 5), view.listVersion());
        assertEquals("r9", view.routes().find(ForwarderFixture.HOST, "/r9/").name());
    }

    /** Each session opens with the member first, whatever the earlier one was in the middle of. */
    @Test
    void aSessionThatFollowsOnesBreakOpensAnew() throws Exception {
        Session first = control.session();
        assertEquals(SELF, first.open().member);
        long asked = first.question().sequence;
        first.reset();
        Session second = control.session();
        assertEquals(SELF, second.open().member);
        assertTrue(second.question().sequence > asked, "questions of two connections are never numbered alike");
    }
}
