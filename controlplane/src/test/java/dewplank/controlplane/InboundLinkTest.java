package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.ConfirmedConfiguration;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetUpdate;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.Scheduler;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests that the first message of a connection determines its purpose, and that later messages can't change it. */
class InboundLinkTest {
    private static final Member DATA = new Member("d", Member.DATA, "10.0.0.9:1", "z", 1);
    private static final Member CONTROL = new Member("c", Member.CONTROL, "10.0.0.8:1", "z", 1);
    private static final ControlHello HELLO = new ControlHello(CONTROL, "disk", true);

    /** A connection that records whether it was closed. */
    private static final class RecordingLink implements MessageLink {
        private boolean closed;

        @Override
        public void send(Object message) {}

        @Override
        public boolean isOpen() {
            return !closed;
        }

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** A clock that does not advance, without timers. */
    private static final class FixedClock implements Scheduler {
        @Override
        public double now() {
            return 0;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            return () -> {};
        }

        @Override
        public void execute(Runnable task) {}
    }

    private static final class NoUpdates implements DataPlaneSessions.UpdateSource {
        @Override
        public Optional<FleetUpdate> newerThan(DataPlaneVersions versions) {
            return Optional.empty();
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
            return List.of();
        }
    }

    private static final class NoPeers implements ControlMesh.Handler {
        @Override
        public ControlHeartbeat createHeartbeat(long sequence) {
            return new ControlHeartbeat(sequence, List.of(), List.of());
        }

        @Override
        public void onMessage(String address, Object message) {}

        @Override
        public void onLinkUp(String address) {}

        @Override
        public boolean isRetained(String address) {
            return false;
        }
    }

    private final RecordingLink connection = new RecordingLink();
    private final Scheduler clock = new FixedClock();
    private final SessionTable table = new SessionTable(2_000);
    private final DataPlaneSessions sessions = new DataPlaneSessions(clock, table, new NoUpdates());
    private final MessageTransport transport = new UnreachableTransport();
    private final ControlMesh mesh = new ControlMesh(clock, transport, HELLO, new NoPeers());
    private final InboundLink link = new InboundLink(true, mesh, sessions, null, null, null, null);

    @Test
    void aHelloInASessionClosesTheConnectionAndAddsNoPeer() {
        link.received(connection, new SessionOpen(DATA));
        assertEquals(List.of(DATA), table.localSessions(0));
        ControlHello other = new ControlHello(new Member("x", Member.CONTROL, "10.0.0.7:1", "z", 1), "disk", true);
        link.received(connection, other);
        assertTrue(connection.isClosed());
        assertEquals(Optional.empty(), mesh.peer("10.0.0.7:1"));
        link.closed(connection);
        assertEquals(List.of(), table.localSessions(0));
    }

    @Test
    void aHelloAddsAPeer() {
        link.received(connection, new ControlHello(CONTROL, "other disk", true));
        assertFalse(connection.isClosed());
        assertEquals("other disk", mesh.peer(CONTROL.address).orElseThrow().identity());
    }

    @Test
    void aHeartbeatBeforeASessionIsOpenClosesTheConnection() {
        link.received(connection, new SessionHeartbeat(1, 0, EndpointListVersion.NONE, 0));
        assertTrue(connection.isClosed());
    }
}
