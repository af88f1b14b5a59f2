package dewplank.dataplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.CorruptDeflateException;
import dewplank.configuration.DeflateCodec;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.membership.Member;
import dewplank.message.FleetUpdate;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageCodec;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.Scheduler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This data plane's sessions: two at a time, with different control sidecars. Each is asked with what is held, and left
 * when it is silent, or says for a while that it hears no quorum and another may be better.
 *
 * <p>What a control sidecar without a quorum tells may be old. Where something is held already this is harmless, as
 * only what is newer is taken. A data plane that holds nothing, after its start, keeps such updates back until a
 * control sidecar with a quorum has told more, or for half of {@code contact_ms}: after a restart of everything there
 * may be no quorum for a while, and by then one that can reach a quorum's side has had the time to find it.
 */
final class SessionClient {
    private static final Logger LOG = LoggerFactory.getLogger(SessionClient.class);
    private static final int SESSIONS = 2;
    private static final double BEAT_MS = 300;
    private static final double SILENCE_MS = 1_000;
    private static final double DIAL_TIMEOUT_MS = 600;
    private static final double AGAIN_MS = 400; // before an address that failed is tried again
    private static final double NO_QUORUM_MS = 1_500; // after which another control sidecar is looked for
    /** Further sessions beside those that say they hear no quorum, while nothing is held. */
    private static final int MOST_FURTHER = 2;

    private static final double REST_NO_QUORUM_MS = 4_000;
    /** Part of {@code contact_ms} for which a data plane that holds nothing waits for a quorum's word. */
    private static final double KEPT_BACK_PART = 0.5;

    private static final int MOST_ASKED = 16; // more than are sent until silence ends the session
    private static final int MOST_KEPT_BACK = 64; // updates; a session that tells more begins anew

    private final Scheduler loop;
    private final MessageTransport transport;
    private final Member self;
    private final FleetMetadata fleet;
    private final RandomGenerator random;
    private final Runnable changed;
    private final double keptBackMs;
    private final ControlAddresses addresses = new ControlAddresses();
    private final List<Session> sessions = new ArrayList<>();
    private double takesAnythingAt = Double.POSITIVE_INFINITY;
    private double beatAt = Double.POSITIVE_INFINITY;
    private long sequence;
    private boolean closed;

    /**
     * @param contactMs the settings' bound {@code contact_ms}
     * @param changed runs after each update
     */
    SessionClient(
            Scheduler loop,
            MessageTransport transport,
            Member self,
            FleetMetadata fleet,
            RandomGenerator random,
            double contactMs,
            Runnable changed) {
        this.loop = loop;
        this.transport = transport;
        this.self = self;
        this.fleet = fleet;
        this.random = random;
        this.keptBackMs = contactMs * KEPT_BACK_PART;
        this.changed = changed;
    }

    /** Addresses of the settings, which are kept however long nobody answers there. */
    void seeds(Collection<String> newer) {
        addresses.seeds(loop.now(), newer, inUse());
    }

    private Set<String> inUse() {
        return sessions.stream().map(s -> s.address).collect(Collectors.toSet());
    }

    /** How many addresses are known. */
    int known() {
        return addresses.size();
    }

    void start() {
        takesAnythingAt = loop.now() + keptBackMs;
        beat();
    }

    void close() {
        closed = true;
        List.copyOf(sessions).forEach(s -> s.connection.close());
    }

    private void beat() {
        if (closed) {
            return;
        }
        double now = loop.now();
        if (now - beatAt > 2 * BEAT_MS) { // this process did not run: nobody was silent to it meanwhile
            sessions.forEach(s -> s.paused(now - beatAt - BEAT_MS));
        }
        beatAt = now;
        List.copyOf(sessions).forEach(Session::beat);
        if (standing() > 0) { // else any address may be the last one that leads to the others
            addresses.forget(loop.now(), inUse());
        }
        trim();
        fill();
        loop.after(BEAT_MS, this::beat);
    }

    private void fill() {
        while (!closed && sessions.size() < SESSIONS + further()) {
            String next = candidate();
            if (next == null) {
                return;
            }
            Session session = new Session(next);
            sessions.add(session);
            session.dial();
        }
    }

    /** While nothing is held, one without a quorum is kept as the last hope, and another is asked beside it. */
    private int further() {
        if (!holdsNothing()) {
            return 0;
        }
        return (int) Math.min(
                MOST_FURTHER,
                sessions.stream().filter(s -> s.answered && !s.quorate).count());
    }

    /** Once something is held the further sessions end, those without a quorum first. */
    private void trim() {
        for (boolean quorate : new boolean[] {false, true}) {
            for (Session session : List.copyOf(sessions)) {
                if (!holdsNothing() && sessions.size() > SESSIONS && session.quorate == quorate) {
                    session.connection.close();
                }
            }
        }
    }

    private String candidate() {
        List<String> candidates = addresses.candidates(loop.now(), inUse());
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    /** How many sessions stand. */
    long standing() {
        return sessions.stream().filter(s -> s.connection.isOpen()).count();
    }

    private boolean holdsNothing() {
        return fleet.configurationVersion() == 0;
    }

    /** Whether some session's control sidecar hears a quorum. */
    private boolean anyQuorate() {
        return sessions.stream().anyMatch(s -> s.quorate && s.connection.isOpen());
    }

    /** A question under way. */
    private record Asked(long sequence, double at) {}

    private final class Session implements MessageLink.Handler {
        private final String address;
        private final Deque<Asked> asked = new ArrayDeque<>();
        private final Deque<FleetUpdate> keptBack = new ArrayDeque<>();
        private MessageLink connection;
        private double answeredAt;
        private double quorateAt;
        private boolean answered;
        private boolean quorate;
        /** The members as this control sidecar last told them; null before. */
        private List<Member> members;

        Session(String address) {
            this.address = address;
        }

        void dial() {
            InetSocketAddress to = SocketAddresses.parse(address);
            connection = transport.open(to, DIAL_TIMEOUT_MS, this);
        }

        @Override
        public void opened(MessageLink opened) {
            answeredAt = loop.now();
            quorateAt = loop.now();
            opened.send(new SessionOpen(self));
            ask();
        }

        private void ask() {
            asked.add(new Asked(++sequence, loop.now()));
            if (asked.size() > MOST_ASKED) {
                asked.remove();
            }
            connection.send(new SessionHeartbeat(
                    sequence, fleet.configurationVersion(), fleet.listVersion(), fleet.membersDigest()));
        }

        /** Time that this process did not run counts for no silence. */
        void paused(double ms) {
            answeredAt += ms;
            quorateAt += ms;
        }

        void beat() {
            if (connection == null || !connection.isOpen()) {
                return;
            }
            double now = loop.now();
            if (now - answeredAt > SILENCE_MS) {
                LOG.info("control sidecar {} is silent", address);
                connection.close();
            } else if (!holdsNothing() && now - quorateAt > NO_QUORUM_MS && candidate() != null) {
                LOG.info("control sidecar {} hears no quorum", address);
                addresses.rest(address, now + REST_NO_QUORUM_MS);
                connection.close();
            } else {
                takeKeptBack();
                ask();
            }
        }

        @Override
        public void received(MessageLink from, Object message) {
            answeredAt = loop.now();
            if (message instanceof HeartbeatAck answer) {
                answered(answer);
            } else if (message instanceof FleetUpdate update) {
                keptBack.add(update);
                takeKeptBack();
            }
        }

        private void answered(HeartbeatAck answer) {
            answered = true;
            quorate = answer.quorate;
            quorateAt = answer.quorate ? askedAt(answer.sequence) : quorateAt;
            addresses.told(loop.now(), answer.controlAddresses, inUse());
            takeKeptBack();
            tellMembers();
        }

        /** An answer tells of the time of its question at the earliest, however long it was on its way. */
        private double askedAt(long answered) {
            while (!asked.isEmpty() && asked.peek().sequence() < answered) {
                asked.remove();
            }
            return asked.isEmpty()
                    ? quorateAt
                    : Math.max(quorateAt, asked.peek().at());
        }

        private boolean mustWait() {
            return holdsNothing() && !quorate && loop.now() < takesAnythingAt;
        }

        private void takeKeptBack() {
            while (!keptBack.isEmpty() && !mustWait() && connection.isOpen()) {
                take(keptBack.remove());
            }
            if (keptBack.size() > MOST_KEPT_BACK) {
                connection.close();
            }
        }

        private void take(FleetUpdate update) {
            if (update.configuration != null && !configured(update)) {
                connection.close(); // the next session begins with what is held
                return;
            }
            if (update.endpointList != null) {
                fleet.updateServers(update.endpointList);
            }
            if (update.members != null) {
                members = update.members;
            }
            tellMembers();
            changed.run();
        }

        /** One without a quorum does not hear of others' sessions: it is believed only where no other is better. */
        private void tellMembers() {
            if (members != null && (quorate || !anyQuorate())) {
                fleet.updateMembers(members);
            }
        }

        private boolean configured(FleetUpdate update) {
            if (update.configurationVersion <= fleet.configurationVersion()) {
                return true;
            }
            try {
                byte[] plain = DeflateCodec.inflate(update.configuration, MessageCodec.MAX_BODY_BYTES);
                if (update.baseVersion == 0) {
                    fleet.updateConfiguration(Configuration.parse(plain));
                } else if (update.baseVersion == fleet.configurationVersion()) {
                    fleet.updateConfiguration(ConfigurationDelta.apply(fleet.configuration(), plain));
                } else {
                    return false;
                }
                return true;
            } catch (CorruptDeflateException | InvalidConfigurationException e) {
                LOG.warn("an update of {} can't be used: {}", address, e.getMessage());
                return false;
            }
        }

        @Override
        public void closed(MessageLink ended) {
            sessions.remove(this);
            addresses.rest(address, loop.now() + AGAIN_MS * (0.5 + random.nextDouble()));
            fill();
        }
    }
}
