package dewplank.dataplane;

import dewplank.membership.Member;
import dewplank.message.MessageTransport;
import dewplank.message.QuotaReply;
import dewplank.net.Scheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Holds this data plane's sessions with control planes: two at a time, with different ones. A session ends at a
 * heartbeat time-out, or when its control plane has had no quorum for a while and there is another to replace it.
 *
 * <p>Updates of a control plane without a quorum may be old. Where there is a configuration already this is harmless,
 * as only newer versions are applied. A data plane without one, after its start, defers such updates until a control
 * plane with a quorum has sent more, or for half of {@code contact_ms}: after a restart of everything there may be
 * no quorum for a while, and by then one that can reach a quorum's side has had the time to find it.
 *
 * <p>Created and started by {@link DataPlane}, and by the simulation; on the scheduler's thread only.
 */
final class SessionClient {
    /** Jitter takes a backoff from this much to this much plus one of its mean. */
    private static final double MIN_JITTER_FACTOR = 0.5;
    /** A look that comes later than this many intervals shows that this process did not run. */
    private static final double STALL_INTERVALS = 2;

    private final Scheduler loop;
    private final MessageTransport transport;
    private final Member self;
    private final FleetMetadata fleet;
    private final RandomGenerator random;
    private final Runnable updated;
    private final SessionParameters parameters = SessionParameters.DEFAULTS;
    private final double maxDeferralMs;
    /** Takes replies about tokens; none before {@link #serve}. */
    private Optional<QuotaClient> quotas = Optional.empty();

    private final ControlAddresses addresses = new ControlAddresses();
    private final List<ControlSession> sessions = new ArrayList<>();
    private final ControlSession.Owner sessionOwner = new SessionOwner();
    private double deferralEndsAt = Double.POSITIVE_INFINITY;
    private double lastTickAt = Double.POSITIVE_INFINITY;
    private long sequence;
    private int nextSession;
    private boolean closed;

    /**
     * @param contactMs the settings' bound {@code contact_ms}
     * @param updated runs after each update that was applied
     */
    SessionClient(
            Scheduler loop,
            MessageTransport transport,
            Member self,
            FleetMetadata fleet,
            RandomGenerator random,
            double contactMs,
            Runnable updated) {
        this.loop = loop;
        this.transport = transport;
        this.self = self;
        this.fleet = fleet;
        this.random = random;
        this.maxDeferralMs = contactMs * parameters.contactFraction();
        this.updated = updated;
    }

    /** Lets the client ask for tokens by the sessions. */
    void serve(QuotaClient client) {
        quotas = Optional.of(client);
        client.connect(this::sessionOtherThan);
    }

    /** The next one in turn, so that all control planes are asked alike; one with a quorum if there is one. */
    private Optional<ControlSession> sessionOtherThan(Optional<ControlSession> tried) {
        List<ControlSession> open =
                new ArrayList<>(sessions.stream().filter(ControlSession::isOpen).toList());
        if (open.size() > 1) {
            tried.ifPresent(open::remove);
        }
        if (open.stream().anyMatch(ControlSession::isQuorate)) {
            open.removeIf(session -> !session.isQuorate());
        }
        return open.isEmpty() ? Optional.empty() : Optional.of(open.get(Math.floorMod(nextSession++, open.size())));
    }

    /** Sets the addresses of the settings, which are retained however long nobody answers there. */
    void setSeeds(Collection<String> seeds) {
        addresses.setSeeds(loop.now(), seeds, addressesInUse());
    }

    private Set<String> addressesInUse() {
        return sessions.stream().map(ControlSession::address).collect(Collectors.toSet());
    }

    int addressCount() {
        return addresses.size();
    }

    void start() {
        deferralEndsAt = loop.now() + maxDeferralMs;
        tick();
    }

    /** Ends all sessions, and opens none from here on. */
    void close() {
        closed = true;
        List.copyOf(sessions).forEach(ControlSession::close);
    }

    private void tick() {
        if (closed) {
            return;
        }
        double now = loop.now();
        double sinceTickMs = now - lastTickAt;
        if (sinceTickMs > STALL_INTERVALS * parameters.heartbeatIntervalMs()) {
            sessions.forEach(s -> s.excludeStall(sinceTickMs - parameters.heartbeatIntervalMs()));
        }
        lastTickAt = now;
        List.copyOf(sessions).forEach(ControlSession::tick);
        if (openSessions() > 0) { // else any address may be the last one that leads to the others
            addresses.evictExpired(loop.now(), addressesInUse());
        }
        closeExtraSessions();
        openMissingSessions();
        loop.after(parameters.heartbeatIntervalMs(), this::tick);
    }

    private void openMissingSessions() {
        while (!closed && sessions.size() < parameters.sessions() + extraSessions()) {
            String address = pickAddress();
            if (address == null) {
                return;
            }
            ControlSession session = new ControlSession(loop, sessionOwner, fleet, self, parameters, address);
            sessions.add(session);
            session.connect(transport);
        }
    }

    /** Without a configuration, a session without a quorum is the last resort, and another is opened beside it. */
    private int extraSessions() {
        if (hasConfiguration()) {
            return 0;
        }
        long withoutQuorum =
                sessions.stream().filter(ControlSession::reportsNoQuorum).count();
        return (int) Math.min(parameters.maxExtraSessions(), withoutQuorum);
    }

    /** Once there is a configuration the extra sessions end, those without a quorum first. */
    private void closeExtraSessions() {
        for (boolean quorate : new boolean[] {false, true}) {
            for (ControlSession session : List.copyOf(sessions)) {
                if (hasConfiguration() && sessions.size() > parameters.sessions() && session.isQuorate() == quorate) {
                    session.close();
                }
            }
        }
    }

    /** An eligible address, drawn at random; null where there is none. */
    private String pickAddress() {
        List<String> eligible = addresses.eligible(loop.now(), addressesInUse());
        return eligible.isEmpty() ? null : eligible.get(random.nextInt(eligible.size()));
    }

    long openSessions() {
        return sessions.stream().filter(ControlSession::isOpen).count();
    }

    private boolean hasConfiguration() {
        return fleet.configurationVersion() != 0;
    }

    /** What the sessions see of this client. */
    private final class SessionOwner implements ControlSession.Owner {
        @Override
        public long nextSequence() {
            return ++sequence;
        }

        @Override
        public boolean defersUpdatesWithoutQuorum() {
            return !hasConfiguration() && loop.now() < deferralEndsAt;
        }

        @Override
        public boolean hasQuorateSession() {
            return sessions.stream().anyMatch(s -> s.isQuorate() && s.isOpen());
        }

        /** Draws an address like {@link #openMissingSessions}, so that a seed's history plays again exactly. */
        @Override
        public boolean hasReplacement() {
            return pickAddress() != null;
        }

        @Override
        public void quorumLost(ControlSession session) {
            addresses.backOff(session.address(), loop.now() + parameters.noQuorumBackoffMs());
        }

        @Override
        public void addressesReported(List<String> reported) {
            addresses.refresh(loop.now(), reported, addressesInUse());
        }

        @Override
        public void quotaReplied(QuotaReply reply) {
            quotas.ifPresent(client -> client.replied(reply));
        }

        @Override
        public void updateApplied() {
            updated.run();
        }

        @Override
        public void sessionEnded(ControlSession session) {
            sessions.remove(session);
            quotas.ifPresent(client -> client.sessionEnded(session));
            double backoffMs = parameters.redialBackoffMs() * (MIN_JITTER_FACTOR + random.nextDouble());
            addresses.backOff(session.address(), loop.now() + backoffMs);
            openMissingSessions();
        }
    }
}
