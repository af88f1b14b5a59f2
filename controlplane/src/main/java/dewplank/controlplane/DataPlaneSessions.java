package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.EndpointListVersion;
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
    interface Source {
        /** The part of the fleet's state that is newer than what is held; null if nothing is. */
        FleetUpdate newerThan(Held held);

        boolean quorate();

        List<String> controlAddresses();
    }

    /** What a data plane holds, by its own word and by what was sent to it since. */
    static final class Held {
        long configurationVersion;
        EndpointListVersion listVersion = EndpointListVersion.NONE;
        long membersDigest;
    }

    private final Scheduler loop;
    private final SessionTable table;
    private final Source source;
    private final Set<Session> open = new LinkedHashSet<>(); // told in the order in which they opened

    DataPlaneSessions(Scheduler loop, SessionTable table, Source source) {
        this.loop = loop;
        this.table = table;
        this.source = source;
    }

    /** A data plane opens its session; null where there is no room. */
    Session open(MessageLink connection, SessionOpen message) {
        if (!table.tryRenew(loop.now(), message.member)) {
            LOG.warn("no room for a session of {}", message.member.node);
            connection.end();
            return null;
        }
        LOG.info("session of {} opened", message.member.node);
        Session session = new Session(connection, message.member);
        open.add(session);
        return session;
    }

    /** Something has changed: whoever holds older is told. */
    void push() {
        List.copyOf(open).forEach(Session::tellOrEnd);
    }

    /** This process heard nobody for so long: no lease ran meanwhile. */
    void paused(double ms) {
        open.forEach(s -> s.askedAt += ms);
        table.extendLeases(ms);
    }

    int size() {
        return open.size();
    }

    /** One session. */
    final class Session {
        private final MessageLink connection;
        private final Member member;
        private final Held held = new Held();
        private double askedAt;
        private boolean asked;

        Session(MessageLink connection, Member member) {
            this.connection = connection;
            this.member = member;
            this.askedAt = loop.now();
        }

        void question(SessionHeartbeat question) {
            askedAt = loop.now();
            table.tryRenew(askedAt, member);
            if (!asked) {
                asked = true;
                held.configurationVersion = question.configurationVersion;
                held.listVersion = question.listVersion;
                held.membersDigest = question.membersDigest;
            }
            connection.send(new HeartbeatAck(question.sequence, source.quorate(), source.controlAddresses()));
            tell();
        }

        /** One whose lease is over may be gone for good without a word: what it is told would pile up. */
        private void tellOrEnd() {
            if (loop.now() - askedAt > table.leaseMs()) {
                connection.end();
            } else {
                tell();
            }
        }

        private void tell() {
            if (!asked) {
                return;
            }
            FleetUpdate update = source.newerThan(held);
            if (update == null) {
                return;
            }
            held.configurationVersion = Math.max(held.configurationVersion, update.configurationVersion);
            held.listVersion = update.servers == null ? held.listVersion : update.servers.version;
            held.membersDigest = update.members == null ? held.membersDigest : SessionTable.digest(update.members);
            connection.send(update);
        }

        void closed() {
            open.remove(this);
            table.close(member);
            LOG.info("session of {} ended", member.node);
        }
    }
}
