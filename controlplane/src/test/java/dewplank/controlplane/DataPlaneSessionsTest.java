package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.ConfirmedConfiguration;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetMessages;
import dewplank.message.FleetUpdate;
import dewplank.message.FramedConnection;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.net.Scheduler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the acknowledgements and updates that a session sends, and the versions that its data plane counts as having.
 */
class DataPlaneSessionsTest {
    /** Lease of a session; no test runs as long. */
    private static final double LEASE_MS = 60_000;

    private static final Member DATA = new Member("n1", Member.DATA, "10.0.0.9:1", "z", 17);

    private final EventLoop loop;
    private final SessionTable table = new SessionTable(LEASE_MS);
    private final DataPlaneSessions sessions;
    private final Listener listener;
    private final FramedPeer dataPlane;
    /** The versions that the source was queried with: configuration, list, members. */
    private final List<String> queries = new ArrayList<>();

    private FleetUpdate pendingUpdate;
    private double clockOffsetMs;

    DataPlaneSessionsTest() throws IOException {
        loop = new EventLoop();
        dataPlane = new FramedPeer();
        sessions = new DataPlaneSessions(new ShiftedClock(), table, new DataPlaneSessions.UpdateSource() {
            @Override
            public Optional<FleetUpdate> newerThan(DataPlaneVersions versions) {
                queries.add(versions.configurationVersion() + " " + versions.listVersion() + " "
                        + versions.membersDigest());
                boolean newer =
                        pendingUpdate != null && pendingUpdate.configurationVersion > versions.configurationVersion();
                return newer ? Optional.of(pendingUpdate) : Optional.empty();
            }

            @Override
            public boolean isCurrent() {
                return true;
            }

            @Override
            public Optional<ConfirmedConfiguration> confirmedConfiguration() {
                return Optional.empty();
            }

            @Override
            public List<String> controlAddresses() {
                return List.of("10.0.0.1:1", "10.0.0.2:1");
            }
        });
        listener = new Listener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                () -> new FramedConnection(loop, FleetMessages.codec(), new SessionHandler()));
    }

    /** The loop with a clock that a test can advance. */
    private final class ShiftedClock implements Scheduler {
        @Override
        public double now() {
            return loop.now() + clockOffsetMs;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            return loop.after(ms, task);
        }

        @Override
        public void execute(Runnable task) {
            loop.execute(task);
        }
    }

    /** Passes messages to the sessions, as the control plane does. */
    private final class SessionHandler implements MessageLink.Handler {
        private DataPlaneSessions.Session session;

        @Override
        public void received(MessageLink connection, Object message) {
            if (message instanceof SessionOpen open) {
                session = sessions.open(connection, open).orElse(null);
            } else if (message instanceof SessionHeartbeat heartbeat && session != null) {
                session.onHeartbeat(heartbeat);
            }
        }

        @Override
        public void closed(MessageLink connection) {
            if (session != null) {
                session.onClosed();
            }
        }
    }

    @BeforeEach
    void begin() {
        loop.execute(listener::accept);
    }

    @AfterEach
    void end() {
        dataPlane.close();
        loop.stop();
    }

    private MessageLink openSession() throws Exception {
        MessageLink connection = dataPlane.connect((InetSocketAddress) listener.address());
        dataPlane.send(connection, new SessionOpen(DATA));
        return connection;
    }

    private void push(FleetUpdate update) throws Exception {
        OnLoop.run(loop, () -> {
            pendingUpdate = update;
            sessions.pushUpdates();
        });
    }

    private static FleetUpdate configuration(long version) {
        return new FleetUpdate(new byte[] {1}, version, 0, null, null);
    }

    @Test
    void theReportedVersionIsRetainedAfterTheSessionEnds() throws Exception {
        MessageLink connection = openSession();
        dataPlane.send(connection, new SessionHeartbeat(1, 7, EndpointListVersion.NONE, 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        DataPlaneReports.Report open = OnLoop.get(loop, sessions::reports).get(0);
        assertEquals(7, open.configurationVersion());
        assertEquals(DATA, open.member());
        assertTrue(open.hasSession());
        dataPlane.closeConnection(connection);
        OnLoop.await(loop, () -> !sessions.reports().get(0).hasSession());
    }

    @Test
    void aHeartbeatIsAcknowledgedWithOrWithoutAnUpdate() throws Exception {
        MessageLink connection = openSession();
        dataPlane.send(connection, new SessionHeartbeat(41, 7, new EndpointListVersion(2, 3), 5));
        HeartbeatAck ack = dataPlane.nextMessage(HeartbeatAck.class);
        assertEquals(41, ack.sequence);
        assertTrue(ack.quorate);
        assertEquals(List.of("10.0.0.1:1", "10.0.0.2:1"), ack.controlAddresses);
        assertEquals(List.of("7 2.3 5"), OnLoop.get(loop, () -> queries));
        assertTrue(dataPlane.hasNoFurtherMessage());
        assertEquals(List.of(DATA), OnLoop.get(loop, () -> table.members(loop.now())));
    }

    @Test
    void anUpdateIsSentImmediatelyAndOnlyOnce() throws Exception {
        MessageLink connection = openSession();
        dataPlane.send(connection, new SessionHeartbeat(1, 7, EndpointListVersion.NONE, 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        push(configuration(8));
        assertEquals(8, dataPlane.nextMessage(FleetUpdate.class).configurationVersion);
        push(pendingUpdate); // the data plane is assumed to have it, although it has not reported it yet
        dataPlane.send(connection, new SessionHeartbeat(2, 7, EndpointListVersion.NONE, 0));
        assertEquals(2, dataPlane.nextMessage(HeartbeatAck.class).sequence);
        push(configuration(9));
        assertEquals(9, dataPlane.nextMessage(FleetUpdate.class).configurationVersion);
        assertTrue(dataPlane.hasNoFurtherMessage());
    }

    @Test
    void aPendingUpdateFollowsTheFirstAcknowledgement() throws Exception {
        push(configuration(8));
        dataPlane.send(openSession(), new SessionHeartbeat(1, 0, EndpointListVersion.NONE, 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        assertEquals(8, dataPlane.nextMessage(FleetUpdate.class).configurationVersion);
    }

    /** A data plane's versions are unknown before its first heartbeat, so no update can be computed. */
    @Test
    void noUpdateIsSentBeforeTheFirstHeartbeat() throws Exception {
        MessageLink connection = openSession();
        OnLoop.await(loop, () -> sessions.size() == 1);
        push(configuration(8));
        assertEquals(List.of(), OnLoop.get(loop, () -> queries));
        dataPlane.send(connection, new SessionHeartbeat(1, 8, EndpointListVersion.NONE, 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        assertEquals(List.of("8 0.0 0"), OnLoop.get(loop, () -> queries));
    }

    @Test
    void versionsThatWereSentCountAsReceived() throws Exception {
        List<Member> members = List.of(DATA);
        MessageLink connection = openSession();
        dataPlane.send(connection, new SessionHeartbeat(1, 7, new EndpointListVersion(1, 1), 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        push(new FleetUpdate(
                new byte[] {1}, 8, 7, new EndpointList(new EndpointListVersion(1, 2), List.of()), members));
        assertEquals(7, dataPlane.nextMessage(FleetUpdate.class).baseVersion);
        push(configuration(9));
        dataPlane.nextMessage(FleetUpdate.class);
        long digest = SessionTable.digest(members);
        assertEquals(List.of("7 1.1 0", "7 1.1 0", "8 1.2 " + digest), OnLoop.get(loop, () -> queries));
    }

    @Test
    void aDataPlaneWithAClosedSessionIsNotAMemberAndReceivesNoUpdates() throws Exception {
        MessageLink connection = openSession();
        dataPlane.send(connection, new SessionHeartbeat(1, 0, EndpointListVersion.NONE, 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        dataPlane.closeConnection(connection);
        OnLoop.await(loop, () -> sessions.size() == 0);
        assertEquals(List.of(), OnLoop.get(loop, () -> table.members(loop.now())));
        push(configuration(8));
        assertEquals(1, OnLoop.get(loop, queries::size));
    }

    /** After a power loss nothing closes the connection, so updates would accumulate. */
    @Test
    void anExpiredSessionIsClosedInsteadOfUpdated() throws Exception {
        MessageLink connection = openSession();
        dataPlane.send(connection, new SessionHeartbeat(1, 0, EndpointListVersion.NONE, 0));
        dataPlane.nextMessage(HeartbeatAck.class);
        push(configuration(8));
        dataPlane.nextMessage(FleetUpdate.class);
        OnLoop.run(loop, () -> clockOffsetMs = LEASE_MS + 1);
        push(configuration(9));
        assertEquals(connection, dataPlane.nextClosedConnection());
        assertEquals(0, OnLoop.get(loop, sessions::size));
    }

    @Test
    void aSessionBeyondMaxSessionsIsRejected() throws Exception {
        OnLoop.run(loop, () -> {
            for (int i = 0; i < SessionTable.MAX_SESSIONS; i++) {
                table.renew(loop.now(), new Member("other" + i, Member.DATA, "a", "z", 1));
            }
        });
        MessageLink connection = openSession();
        assertEquals(connection, dataPlane.nextClosedConnection());
        assertEquals(0, OnLoop.get(loop, sessions::size));
        assertNull(pendingUpdate);
        assertFalse(connection.isOpen());
    }
}
