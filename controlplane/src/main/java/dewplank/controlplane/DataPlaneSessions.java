package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.FleetUpdate;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.Scheduler;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Data planes' sessions here: their questions are kept, and answered as soon as there is something newer. */
final class DataPlaneSessions {
    private static final Logger LOG = LoggerFactory.getLogger(DataPlaneSessions.class);

    /** What data planes are told. */
    interface UpdateSource {
        /** The part of the fleet's state that is newer than these versions; null if nothing is. */
        FleetUpdate newerThan(DataPlaneVersions versions);

        boolean quorate();

        List<String> controlAddresses();
    }

    private final Scheduler loop;
    private final SessionTable table;
    private final UpdateSource source;
    private final Set<Session> open = new LinkedHashSet<>(); // told in the order in which they opened

    DataPlaneSessions(Scheduler loop, SessionTable table, UpdateSource source) {
        this.loop = loop;
        this.table = table;
        this.source = source;
    }

    /** A data plane opens its session; null where there is no room. */
    Session open(MessageLink connection, SessionOpen message) {
        if (!table.tryRenew(loop.now(), message.member)) {
            LOG.warn("session rejected node={} reason=max-sessions", message.member.node);
            connection.close();
            return null;
        }
        LOG.info("session opened node={}", message.member.node);
        Session session = new Session(connection, message.member);
        open.add(session);
        return session;
    }

    /** Something has changed: whoever holds older is told. */
    void pushUpdates() {
        List.copyOf(open).forEach(Session::sendUpdateOrClose);
    }

    /** This process heard nobody for so long: no lease ran meanwhile. */
    void stalled(double stalledMs) {
        open.forEach(s -> s.lastHeartbeatAt += stalledMs);
        table.extendLeases(stalledMs);
    }

    int size() {
        return open.size();
    }

    /** One session. */
    final class Session {
        private final MessageLink connection;
        private final Member member;
        private final DataPlaneVersions versions = new DataPlaneVersions();
        private double lastHeartbeatAt;
        private boolean versionsReported;

        Session(MessageLink connection, Member member) {
            this.connection = connection;
            this.member = member;
            this.lastHeartbeatAt = loop.now();
        }

        void heartbeat(SessionHeartbeat heartbeat) {
            lastHeartbeatAt = loop.now();
            table.tryRenew(lastHeartbeatAt, member);
            if (!versionsReported) {
                versionsReported = true;
                versions.configurationVersion = heartbeat.configurationVersion;
                versions.listVersion = heartbeat.listVersion;
                versions.membersDigest = heartbeat.membersDigest;
            }
            connection.send(new HeartbeatAck(heartbeat.sequence, source.quorate(), source.controlAddresses()));
            sendUpdate();
        }

        /** One whose lease is over may be gone for good without a word: what it is told would pile up. */
        private void sendUpdateOrClose() {
            if (loop.now() - lastHeartbeatAt > table.leaseMs()) {
                connection.close();
            } else {
                sendUpdate();
            }
        }

        private void sendUpdate() {
            if (!versionsReported) {
                return;
            }
            FleetUpdate update = source.newerThan(versions);
            if (update == null) {
                return;
            }
            versions.configurationVersion = Math.max(versions.configurationVersion, update.configurationVersion);
            versions.listVersion = update.endpointList == null ? versions.listVersion : update.endpointList.version;
            versions.membersDigest =
                    update.members == null ? versions.membersDigest : SessionTable.digest(update.members);
            connection.send(update);
        }

        void closed() {
            open.remove(this);
            table.close(member);
            LOG.info("session closed node={}", member.node);
        }
    }
}
