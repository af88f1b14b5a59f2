package dewplank.dataplane;

import dewplank.net.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.message.BadFrameException;
import dewplank.message.Deflated;
import dewplank.message.FramedConnection;
import dewplank.message.MessageCodec;
import dewplank.message.SessionAnswer;
import dewplank.message.SessionOpen;
import dewplank.message.SessionQuestion;
import dewplank.message.Update;
import dewplank.membership.Member;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This data plane's sessions: two at a time, with different control sidecars. Each is asked with what is held, and left
 * when it is silent, or says for a while that it hears no quorum and another may be better.
 */
final class SessionClient {
    private static final Logger LOG = LoggerFactory.getLogger(SessionClient.class);
    private static final int SESSIONS = 2;
    private static final double BEAT_MS = 300;
    private static final double SILENCE_MS = 1_000;
    private static final double DIAL_TIMEOUT_MS = 600;
    private static final double AGAIN_MS = 400;           // before an address that failed is tried again
    private static final double NO_QUORUM_MS = 1_500;     // after which another control sidecar is looked for
    private static final double REST_NO_QUORUM_MS = 4_000;
    private static final int MOST_ADDRESSES = 64;

    private final EventLoop loop;
    private final MessageCodec codec;
    private final Member self;
    private final FleetView fleet;
    private final RandomGenerator random;
    private final Runnable changed;
    private final Set<String> addresses = new LinkedHashSet<>();
    private final Map<String, Double> notBefore = new HashMap<>();
    private final List<Session> sessions = new ArrayList<>();
    private long sequence;
    private boolean closed;

    SessionClient(EventLoop loop, MessageCodec codec, Member self, FleetView fleet, RandomGenerator random,
                  Runnable changed) {
        this.loop = loop;
        this.codec = codec;
        this.self = self;
        this.fleet = fleet;
        this.random = random;
        this.changed = changed;
    }

    /** Addresses of control sidecars, from the settings or from control sidecars themselves. */
    void learn(Collection<String> more) {
        for (String address : more) {
            if (addresses.size() < MOST_ADDRESSES) {
                addresses.add(address);
            }
        }
    }

    void start() {
        beat();
    }

    void close() {
        closed = true;
        List.copyOf(sessions).forEach(s -> s.connection.end());
    }

    private void beat() {
        if (closed) {
            return;
        }
        List.copyOf(sessions).forEach(Session::beat);
        fill();
        loop.after(BEAT_MS, this::beat);
    }

    private void fill() {
        while (!closed && sessions.size() < SESSIONS) {
            String next = candidate();
            if (next == null) {
                return;
            }
            Session session = new Session(next);
            sessions.add(session);
            session.dial();
        }
    }

    private String candidate() {
        double now = loop.now();
        List<String> candidates = new ArrayList<>();
        for (String address : addresses) {
            boolean used = sessions.stream().anyMatch(s -> s.address.equals(address));
            if (!used && notBefore.getOrDefault(address, 0.0) <= now) {
                candidates.add(address);
            }
        }
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    /** How many sessions stand. */
    long standing() {
        return sessions.stream().filter(s -> s.connection.isOpen()).count();
    }

    private final class Session implements FramedConnection.Handler {
        private final String address;
        private FramedConnection connection;
        private double answeredAt;
        private double quorateAt;

        Session(String address) {
            this.address = address;
        }

        void dial() {
            InetSocketAddress to = Sockets.address(address);
            connection = FramedConnection.open(loop, to, DIAL_TIMEOUT_MS, codec, this);
        }

        @Override
        public void opened(FramedConnection opened) {
            answeredAt = loop.now();
            quorateAt = loop.now();
            opened.send(new SessionOpen(self));
            ask();
        }

        private void ask() {
            connection.send(new SessionQuestion(++sequence, fleet.configurationVersion(), fleet.listVersion(),
                fleet.membersDigest()));
        }

        void beat() {
            if (connection == null || !connection.isOpen()) {
                return;
            }
            double now = loop.now();
            if (now - answeredAt > SILENCE_MS) {
                LOG.info("control sidecar {} is silent", address);
                connection.end();
            } else if (now - quorateAt > NO_QUORUM_MS && candidate() != null) {
                LOG.info("control sidecar {} hears no quorum", address);
                connection.end();
                notBefore.put(address, now + REST_NO_QUORUM_MS);
            } else {
                ask();
            }
        }

        @Override
        public void received(FramedConnection from, Object message) {
            answeredAt = loop.now();
            if (message instanceof SessionAnswer answer) {
                quorateAt = answer.quorate ? loop.now() : quorateAt;
                learn(answer.controlAddresses);
            } else if (message instanceof Update update) {
                take(update);
            }
        }

        private void take(Update update) {
            if (update.configuration != null && !configured(update)) {
                connection.end();   // the next session begins with what is held
                return;
            }
            if (update.servers != null) {
                fleet.listed(update.servers);
            }
            if (update.members != null) {
                fleet.members(update.members);
            }
            changed.run();
        }

        private boolean configured(Update update) {
            if (update.configurationVersion <= fleet.configurationVersion()) {
                return true;
            }
            try {
                byte[] plain = Deflated.plain(update.configuration);
                if (update.baseVersion == 0) {
                    fleet.configured(Configuration.parse(plain));
                } else if (update.baseVersion == fleet.configurationVersion()) {
                    fleet.configured(ConfigurationDelta.apply(fleet.configuration(), plain));
                } else {
                    return false;
                }
                return true;
            } catch (BadFrameException | InvalidConfigurationException e) {
                LOG.warn("an update of {} can't be used: {}", address, e.getMessage());
                return false;
            }
        }

        @Override
        public void closed(FramedConnection ended) {
            sessions.remove(this);
            double wait = AGAIN_MS * (0.5 + random.nextDouble());
            notBefore.merge(address, loop.now() + wait, Math::max);
            fill();
        }
    }
}
