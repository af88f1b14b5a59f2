package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.FleetUpdates.complete;
import static dewplank.dataplane.FleetUpdates.configuration;
import static dewplank.dataplane.FleetUpdates.endpointList;
import static dewplank.dataplane.FleetUpdates.members;
import static dewplank.dataplane.SessionFixture.SELF;
import static dewplank.dataplane.TestRoute.safeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.dataplane.FakeControlPlane.Session;
import dewplank.exchange.OnLoop;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetUpdate;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Messages that arrive while a session closes, after a broken connection, or after a control plane's restart. */
class SessionRaceTest {
    private static final double CONTACT_MS = 4_000;

    private SessionFixture fixture;
    private FakeControlPlane control;

    @BeforeEach
    void setUp() throws Exception {
        fixture = new SessionFixture(CONTACT_MS);
        control = fixture.controlPlane();
        fixture.start(control);
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private static FleetUpdate update(long version, EndpointListVersion list) throws Exception {
        return complete(configuration(version, safeRoute("r" + version, 1)), endpointList(list), null);
    }

    /** The update arrives while the session is being closed, so it is not handled. */
    @Test
    void anUpdateThatArrivesWhileItsSessionClosesIsDiscarded() throws Exception {
        Session session = control.session();
        session.heartbeatWithVersion(0);
        session.send(update(3, new EndpointListVersion(1, 1)));
        fixture.awaitVersion(3);
        OnLoop.run(fixture.loop, () -> {
            session.send(update(9, new EndpointListVersion(1, 9)));
            fixture.client.close();
        });
        session.awaitClose();
        OnLoop.run(fixture.loop, () -> {});
        assertEquals(3, fixture.metadata.configurationVersion());
        assertEquals(new EndpointListVersion(1, 1), fixture.metadata.listVersion());
    }

    /** The connection breaks within an update: the bytes of the next connection are not decoded as its remainder. */
    @Test
    void aPartialUpdateOfAnEarlierConnectionIsDiscarded() throws Exception {
        Session first = control.session();
        first.heartbeatWithVersion(0);
        first.send(update(3, new EndpointListVersion(1, 1)));
        fixture.awaitVersion(3);
        first.sendHalf(update(9, new EndpointListVersion(1, 9)));
        first.reset();
        Session second = control.session();
        assertEquals(3, second.heartbeat().configurationVersion, "the session starts from the version in force");
        second.send(update(4, new EndpointListVersion(1, 2)));
        fixture.awaitVersion(4);
        assertEquals(new EndpointListVersion(1, 2), OnLoop.get(fixture.loop, fixture.metadata::listVersion));
    }

    /** A control plane that restarts with its stored state sends older versions, which replace no newer ones. */
    @Test
    void staleStateOfALaterIncarnationIsDiscarded() throws Exception {
        Session first = control.session();
        first.heartbeatWithVersion(0);
        first.send(update(9, new EndpointListVersion(2, 5)));
        fixture.awaitVersion(9);
        first.reset();
        Session second = control.session();
        assertEquals(9, second.heartbeat().configurationVersion);
        second.send(update(3, new EndpointListVersion(1, 8)));
        second.send(update(8, new EndpointListVersion(2, 4)));
        second.send(members(List.of(SELF))); // handled after both updates
        fixture.await(() -> fixture.metadata.members().size() == 1);
        assertEquals(9, fixture.metadata.configurationVersion());
        assertEquals(new EndpointListVersion(2, 5), fixture.metadata.listVersion());
        assertEquals("r9", fixture.metadata.routes().find(HOST, "/r9/").name());
    }

    /** Each session starts with the member, regardless of the message in which the earlier connection broke. */
    @Test
    void aSessionAfterABrokenOneOpensWithItsMember() throws Exception {
        Session first = control.session();
        assertEquals(SELF, first.open().member);
        long sequence = first.heartbeat().sequence;
        first.reset();
        Session second = control.session();
        assertEquals(SELF, second.open().member);
        assertTrue(second.heartbeat().sequence > sequence, "sequence numbers are unique across sessions");
    }
}
