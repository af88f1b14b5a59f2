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
 * Maintains this data plane's sessions with control planes: two at a time, with different control planes. A session is
 * closed at a heartbeat timeout, or when its control plane has had no quorum for a while and another can replace it.
 *
 * <p>Updates from a control plane without a quorum may be outdated. If there is a configuration, this is harmless
 * because only newer versions are applied. A data plane that has no configuration after its start defers such updates
 * until it has received one from a control plane with a quorum, or for half of {@code contact_ms}: after a restart of
 * the whole fleet there may be no quorum for a while, and a data plane that can reach a control plane with a quorum has
 * had time to find it by then.
 *
 * <p>Created and started by {@link DataPlane} and by the simulation; must be called on the scheduler's thread only.
 */
final class SessionClient {
    /** Minimum jitter factor of a backoff; the factor is uniform between this value and this value plus 1. */
    private static final double MIN_JITTER_FACTOR = 0.5;
    /** A tick more than this many heartbeat intervals after the previous one shows that the process was paused. */
    private static final double PAUSE_INTERVALS = 2;

    private final Scheduler loop;
    private final MessageTransport transport;
    private final Member self;
    private final FleetMetadata fleet;
    private final RandomGenerator random;
    private final Runnable onUpdate;
    private final SessionParameters parameters = SessionParameters.DEFAULTS;
    private final double maxDeferralMs;
    /** Receives quota replies; empty before {@link #connectQuotaClient}. */
    private Optional<QuotaClient> quotas = Optional.empty();

    private final ControlAddresses addresses = new ControlAddresses();
    private final List<ControlSession> sessions = new ArrayList<>();
    private final ControlSession.Owner sessionOwner = new SessionOwner();
    private double deferralEndsAt = Double.POSITIVE_INFINITY;
    private double lastTickAt = Double.POSITIVE_INFINITY;
    private long sequence;
    private int nextSessionIndex;
    private boolean closed;

    /**
     * @param contactMs the setting {@code contact_ms}
     * @param onUpdate runs after each applied update
     */
    SessionClient(
            Scheduler loop,
            MessageTransport transport,
            Member self,
            FleetMetadata fleet,
            RandomGenerator random,
            double contactMs,
            Runnable onUpdate) {
        this.loop = loop;
        this.transport = transport;
        this.self = self;
        this.fleet = fleet;
        this.random = random;
        this.maxDeferralMs = contactMs * parameters.contactFraction();
        this.onUpdate = onUpdate;
    }

    /** Lets the quota client send its requests over the sessions. */
    void connectQuotaClient(QuotaClient client) {
        quotas = Optional.of(client);
        client.connect(this::sessionOtherThan);
    }

    /** The next session in round-robin order, so that the load is spread evenly; one with a quorum if possible. */
    private Optional<ControlSession> sessionOtherThan(Optional<ControlSession> tried) {
        List<ControlSession> open =
                new ArrayList<>(sessions.stream().filter(ControlSession::isOpen).toList());
        if (open.size() > 1) {
            tried.ifPresent(open::remove);
        }
        if (open.stream().anyMatch(ControlSession::isQuorate)) {
            open.removeIf(session -> !session.isQuorate());
        }
        return open.isEmpty()
                ? Optional.empty()
                : Optional.of(open.get(Math.floorMod(nextSessionIndex++, open.size())));
    }

    /** Sets the seeds from the settings, which are retained even if no control plane is reachable there. */
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

    /** Closes all sessions, and opens no further ones. */
    void close() {
        closed = true;
        List.copyOf(sessions).forEach(ControlSession::close);
    }

    private void tick() {
        if (closed) {
            return;
        }
        double now = loop.now();
        double sinceLastTickMs = now - lastTickAt;
        if (sinceLastTickMs > PAUSE_INTERVALS * parameters.heartbeatIntervalMs()) {
            sessions.forEach(s -> s.excludePause(sinceLastTickMs - parameters.heartbeatIntervalMs()));
        }
        lastTickAt = now;
        List.copyOf(sessions).forEach(ControlSession::tick);
        if (openSessions() > 0) { // otherwise any address may be the only one through which the others can be found
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

    /** Without a configuration, a session without a quorum is retained as a fallback and another one is opened. */
    private int extraSessions() {
        if (hasConfiguration()) {
            return 0;
        }
        long withoutQuorum =
                sessions.stream().filter(ControlSession::reportsNoQuorum).count();
        return (int) Math.min(parameters.maxExtraSessions(), withoutQuorum);
    }

    /** Closes the extra sessions once there is a configuration, those without a quorum first. */
    private void closeExtraSessions() {
        for (boolean quorate : new boolean[] {false, true}) {
            for (ControlSession session : List.copyOf(sessions)) {
                if (hasConfiguration() && sessions.size() > parameters.sessions() && session.isQuorate() == quorate) {
                    session.close();
                }
            }
        }
    }

    /** A random eligible address; null if there is none. */
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

    /** Handles the sessions' events and queries. */
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

        /** Draws an address as {@link #openMissingSessions} does, so that a seed reproduces its simulation run. */
        @Override
        public boolean hasReplacement() {
            return pickAddress() != null;
        }

        @Override
        public void onQuorumLost(ControlSession session) {
            addresses.backOff(session.address(), loop.now() + parameters.noQuorumBackoffMs());
        }

        @Override
        public void onAddressesReported(List<String> reported) {
            addresses.refresh(loop.now(), reported, addressesInUse());
        }

        @Override
        public void onQuotaReply(QuotaReply reply) {
            quotas.ifPresent(client -> client.onReply(reply));
        }

        @Override
        public void onUpdateApplied() {
            onUpdate.run();
        }

        @Override
        public void onSessionClosed(ControlSession session) {
            sessions.remove(session);
            quotas.ifPresent(client -> client.onSessionClosed(session));
            double backoffMs = parameters.reconnectBackoffMs() * (MIN_JITTER_FACTOR + random.nextDouble());
            addresses.backOff(session.address(), loop.now() + backoffMs);
            openMissingSessions();
        }
    }
}
