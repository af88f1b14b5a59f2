package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.ConfirmedConfiguration;
import dewplank.message.FleetUpdate;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.Scheduler;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The sessions of data planes with this control plane: each heartbeat renews a session's lease and is acknowledged, and
 * whatever is newer than what the data plane has is sent as soon as it is there.
 *
 * <p>{@link ControlPlane} hands in connections and messages, on the loop's thread only. A session ends with its
 * connection; nothing here throws.
 */
final class DataPlaneSessions {
    private static final Logger LOG = LoggerFactory.getLogger(DataPlaneSessions.class);

    /** The state of the fleet as data planes receive it. On the loop's thread. */
    interface UpdateSource {
        /** The part of the fleet's state that is newer than these versions; empty if nothing is. */
        Optional<FleetUpdate> newerThan(DataPlaneVersions versions);

        /** Whether a quorum has recently confirmed to this process that its state is the newest. */
        boolean isCurrent();

        /** The newest configuration here, if a quorum has ever confirmed that none was newer at some time. */
        Optional<ConfirmedConfiguration> confirmedConfiguration();

        /** Control planes that a data plane may open a session with. */
        List<String> controlAddresses();
    }

    private final Scheduler loop;
    private final SessionTable table;
    private final UpdateSource source;
    private final DataPlaneReports reports = new DataPlaneReports();
    private final Set<Session> sessions = new LinkedHashSet<>(); // updates go out in the order of opening

    DataPlaneSessions(Scheduler loop, SessionTable table, UpdateSource source) {
        this.loop = loop;
        this.table = table;
        this.source = source;
    }

    /** Opens a session; empty where the table is full, and the connection is ended then. */
    Optional<Session> open(MessageLink connection, SessionOpen message) {
        if (table.renew(loop.now(), message.member) == SessionTable.Renewal.REJECTED_MAX_SESSIONS) {
            LOG.warn("session rejected node={} reason=max-sessions", message.member.node);
            connection.close();
            return Optional.empty();
        }
        LOG.info("session opened node={}", message.member.node);
        Session session = new Session(connection, message.member);
        sessions.add(session);
        return Optional.of(session);
    }

    /** The state of the fleet has changed: sends it to every data plane that has an older one. */
    void pushUpdates() {
        List.copyOf(sessions).forEach(Session::sendUpdateOrClose);
    }

    /** The event loop stood still for so long: heartbeats could not be read meanwhile, so leases are extended. */
    void stalled(double stalledMs) {
        sessions.forEach(s -> s.lastHeartbeatAt += stalledMs);
        table.extendLeases(stalledMs);
    }

    int size() {
        return sessions.size();
    }

    /** Which configuration each data plane acts on, as it told this control plane. */
    List<DataPlaneReports.Report> reports() {
        return reports.reports(loop.now());
    }

    /** One data plane's session, from its opening to the end of its connection. */
    final class Session {
        private final MessageLink connection;
        private final Member member;
        private final DataPlaneVersions versions = new DataPlaneVersions();
        private double lastHeartbeatAt;

        private Session(MessageLink connection, Member member) {
            this.connection = connection;
            this.member = member;
            this.lastHeartbeatAt = loop.now();
        }

        /** Renews the lease, acknowledges, and sends what is newer than the data plane's versions. */
        void heartbeat(SessionHeartbeat heartbeat) {
            lastHeartbeatAt = loop.now();
            table.renew(lastHeartbeatAt, member);
            versions.onHeartbeat(heartbeat);
            reports.onHeartbeat(lastHeartbeatAt, member, heartbeat.configurationVersion);
            connection.send(new HeartbeatAck(
                    heartbeat.sequence,
                    source.isCurrent(),
                    source.controlAddresses(),
                    source.confirmedConfiguration().orElse(null)));
            sendUpdate();
        }

        /** A data plane whose lease has expired may be gone without closing: updates to it would pile up. */
        private void sendUpdateOrClose() {
            if (loop.now() - lastHeartbeatAt > table.leaseMs()) {
                connection.close();
            } else {
                sendUpdate();
            }
        }

        private void sendUpdate() {
            if (versions.areReported()) {
                source.newerThan(versions).ifPresent(this::send);
            }
        }

        private void send(FleetUpdate update) {
            versions.onUpdate(update);
            connection.send(update);
        }

        /** The connection has ended. */
        void closed() {
            sessions.remove(this);
            table.close(member);
            reports.sessionEnded(member);
            LOG.info("session closed node={}", member.node);
        }
    }
}
