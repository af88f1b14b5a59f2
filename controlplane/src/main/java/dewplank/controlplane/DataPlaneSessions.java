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
 * The sessions of data planes with this control plane. Each heartbeat renews the session's lease and is acknowledged;
 * state that is newer than the data plane's versions is sent as soon as it is available.
 *
 * <p>{@link InboundLink} passes in connections and messages, on the loop's thread only. A session ends when its
 * connection closes. No method throws.
 */
final class DataPlaneSessions {
    private static final Logger LOG = LoggerFactory.getLogger(DataPlaneSessions.class);

    /** Supplies the fleet state that is sent to data planes. Called on the loop's thread. */
    interface UpdateSource {
        /** The part of the fleet state that is newer than these versions; empty if there is none. */
        Optional<FleetUpdate> newerThan(DataPlaneVersions versions);

        /** Whether a quorum has recently confirmed that this process has the newest state. */
        boolean isCurrent();

        /**
         * The version of this process's configuration, and the time since a quorum last confirmed that none was newer;
         * empty if no quorum has confirmed it yet.
         */
        Optional<ConfirmedConfiguration> confirmedConfiguration();

        /** Addresses of the control planes that a data plane may open a session with. */
        List<String> controlAddresses();
    }

    private final Scheduler loop;
    private final SessionTable table;
    private final UpdateSource source;
    private final DataPlaneReports reports = new DataPlaneReports();
    private final Set<Session> sessions = new LinkedHashSet<>(); // updates are sent in the order of opening

    DataPlaneSessions(Scheduler loop, SessionTable table, UpdateSource source) {
        this.loop = loop;
        this.table = table;
        this.source = source;
    }

    /** Opens a session. If the session table is full, closes the connection and returns empty. */
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

    /** Sends the changed fleet state to every data plane that has an older version. */
    void pushUpdates() {
        List.copyOf(sessions).forEach(Session::sendUpdateOrClose);
    }

    /** Extends the leases by the time for which the event loop stalled, because it read no heartbeats meanwhile. */
    void extendLeases(double stalledMs) {
        sessions.forEach(s -> s.lastHeartbeatAt += stalledMs);
        table.extendLeases(stalledMs);
    }

    int size() {
        return sessions.size();
    }

    /** The configuration that each data plane uses, according to its reports to this control plane. */
    List<DataPlaneReports.Report> reports() {
        return reports.reports(loop.now());
    }

    /** One data plane's session, from its opening until its connection closes. */
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

        /** Renews the lease, acknowledges the heartbeat, and sends state newer than the data plane's versions. */
        void onHeartbeat(SessionHeartbeat heartbeat) {
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

        /**
         * Closes the connection if the lease has expired: the data plane may have failed without closing it, and
         * updates to it would accumulate.
         */
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

        /** Removes the session after its connection has closed. */
        void onClosed() {
            sessions.remove(this);
            table.close(member);
            reports.onSessionClosed(member);
            LOG.info("session closed node={}", member.node);
        }
    }
}
