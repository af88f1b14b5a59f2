package dewplank.dataplane;

import dewplank.membership.Member;
import dewplank.message.FleetUpdate;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.Scheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One session with one control plane: sends heartbeats with the versions that are in force here, and applies the
 * updates that come back. Updates of a control plane without a quorum are deferred while there is no configuration
 * here. Made by {@link SessionClient}; on the event loop's thread only.
 */
final class ControlSession implements MessageLink.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(ControlSession.class);

    /** What a session needs to know of the others, and reports of itself. */
    interface Owner {
        /** The number of the next heartbeat, over all sessions. */
        long nextSequence();

        /** Whether updates of a control plane without a quorum are deferred for now. */
        boolean defersUpdatesWithoutQuorum();

        /** Whether some open session's control plane reports a quorum. */
        boolean hasQuorateSession();

        /** Whether a session that lost its quorum can be replaced by one with another control plane. */
        boolean hasReplacement();

        /** The control plane lost its quorum, and its session is about to end. */
        void quorumLost(ControlSession session);

        /** The control plane vouches for these addresses of control planes. */
        void addressesReported(List<String> addresses);

        /** The control plane replied to a request for a tenant's tokens. */
        void quotaReplied(QuotaReply reply);

        /** An update was applied. */
        void updateApplied();

        /** The session ended, or its connection did not come up. */
        void sessionEnded(ControlSession session);
    }

    /** That no configuration newer than the version had been chosen by that time of the loop's clock. */
    private record PendingConfirmation(long version, double atMs) {}

    private final Scheduler loop;
    private final Owner owner;
    private final FleetMetadata fleet;
    private final ConfigurationUpdater configurations;
    private final Member self;
    private final SessionParameters parameters;
    private final String address;
    private final PendingHeartbeats pendingHeartbeats;
    private final Deque<FleetUpdate> deferredUpdates = new ArrayDeque<>();
    /** Null until the connection is being opened. */
    private MessageLink link;

    private double lastMessageAt;
    private double lastQuorumAt;
    private boolean acknowledged;
    private boolean quorate;
    /** Confirmed by this control plane of a version that is not in force here yet; null where there is none. */
    private PendingConfirmation pendingConfirmation;
    /** The membership as this control plane last reported it; null before. */
    private List<Member> members;

    ControlSession(
            Scheduler loop,
            Owner owner,
            FleetMetadata fleet,
            Member self,
            SessionParameters parameters,
            String address) {
        this.loop = loop;
        this.owner = owner;
        this.fleet = fleet;
        this.configurations = new ConfigurationUpdater(fleet);
        this.self = self;
        this.parameters = parameters;
        this.address = address;
        this.pendingHeartbeats = new PendingHeartbeats(parameters.maxPendingHeartbeats());
    }

    /** The control plane's IP:PORT. */
    String address() {
        return address;
    }

    boolean isOpen() {
        return link.isOpen();
    }

    /** Whether the control plane reported a quorum in its last heartbeat. */
    boolean isQuorate() {
        return quorate;
    }

    /** Whether the control plane has acknowledged a heartbeat, and reported no quorum with the latest one. */
    boolean reportsNoQuorum() {
        return acknowledged && !quorate;
    }

    void connect(MessageTransport transport) {
        link = transport.open(SocketAddresses.parse(address), parameters.connectTimeoutMs(), this);
    }

    void close() {
        link.close();
    }

    // ---- heartbeats -----------------------------------------------------------------------------------

    @Override
    public void opened(MessageLink opened) {
        lastMessageAt = loop.now();
        lastQuorumAt = loop.now();
        opened.send(new SessionOpen(self));
        sendHeartbeat();
    }

    private void sendHeartbeat() {
        long sequence = owner.nextSequence();
        pendingHeartbeats.add(sequence, loop.now());
        link.send(new SessionHeartbeat(
                sequence, fleet.configurationVersion(), fleet.listVersion(), fleet.membersDigest()));
    }

    /** This process did not run for so long: that counts for no time-out. */
    void excludeStall(double stalledMs) {
        lastMessageAt += stalledMs;
        lastQuorumAt += stalledMs;
    }

    /** Called at each heartbeat interval: ends the session where it is overdue, else sends the next heartbeat. */
    void tick() {
        if (link == null || !link.isOpen()) {
            return;
        }
        double now = loop.now();
        if (now - lastMessageAt > parameters.heartbeatTimeoutMs()) {
            LOG.info("heartbeat timeout peer={} elapsedMs={}", address, Math.round(now - lastMessageAt));
            link.close();
        } else if (fleet.configurationVersion() != 0
                && now - lastQuorumAt > parameters.quorumTimeoutMs()
                && owner.hasReplacement()) {
            LOG.info("lost quorum peer={} elapsedMs={}", address, Math.round(now - lastQuorumAt));
            owner.quorumLost(this);
            link.close();
        } else {
            applyDeferredUpdates();
            sendHeartbeat();
        }
    }

    @Override
    public void received(MessageLink from, Object message) {
        lastMessageAt = loop.now();
        if (message instanceof HeartbeatAck ack) {
            onAcknowledged(ack);
        } else if (message instanceof QuotaReply reply) {
            owner.quotaReplied(reply);
        } else if (message instanceof FleetUpdate update) {
            deferredUpdates.add(update);
            applyDeferredUpdates();
        }
    }

    /** Sends a request for a tenant's tokens; its reply goes to the owner, or is lost with the session. */
    void send(QuotaRequest request) {
        link.send(request);
    }

    private void onAcknowledged(HeartbeatAck ack) {
        acknowledged = true;
        quorate = ack.quorate;
        recordConfirmation(ack);
        if (ack.quorate) {
            lastQuorumAt = Math.max(lastQuorumAt, pendingHeartbeats.acknowledge(ack.sequence, lastQuorumAt));
        }
        owner.addressesReported(ack.controlAddresses);
        applyDeferredUpdates();
        applyMembership();
    }

    /** The acknowledgement was made after its heartbeat was sent: what it confirms held at that time less its age. */
    private void recordConfirmation(HeartbeatAck ack) {
        OptionalDouble sentAt = pendingHeartbeats.sentAt(ack.sequence);
        if (ack.confirmed != null && sentAt.isPresent()) {
            double atMs = sentAt.getAsDouble() - ack.confirmed.ageMs;
            pendingConfirmation = new PendingConfirmation(ack.confirmed.version, atMs);
            applyConfirmation();
        }
    }

    private void applyConfirmation() {
        if (pendingConfirmation != null
                && fleet.confirmConfiguration(pendingConfirmation.version(), pendingConfirmation.atMs())) {
            pendingConfirmation = null;
        }
    }

    @Override
    public void closed(MessageLink ended) {
        owner.sessionEnded(this);
    }

    // ---- updates --------------------------------------------------------------------------------------

    private void applyDeferredUpdates() {
        while (!deferredUpdates.isEmpty() && (quorate || !owner.defersUpdatesWithoutQuorum()) && link.isOpen()) {
            apply(deferredUpdates.remove());
        }
        if (deferredUpdates.size() > parameters.maxDeferredUpdates()) {
            link.close();
        }
    }

    private void apply(FleetUpdate update) {
        if (update.configuration != null && !applyConfiguration(update)) {
            link.close(); // the next session begins with the version that is in force here
            return;
        }
        applyConfirmation();
        if (update.endpointList != null) {
            fleet.updateServers(update.endpointList);
        }
        if (update.members != null) {
            members = update.members;
        }
        applyMembership();
        owner.updateApplied();
    }

    /** Whether the configuration of the update is in force now, or was no newer. */
    private boolean applyConfiguration(FleetUpdate update) {
        ConfigurationUpdater.Result result = configurations.apply(update);
        if (result instanceof ConfigurationUpdater.Result.Corrupt corrupt) {
            LOG.warn("configuration update rejected peer={} reason={}", address, corrupt.reason());
        }
        return result instanceof ConfigurationUpdater.Result.Applied;
    }

    /** One without a quorum does not learn of others' sessions: its report counts only where no other is better. */
    private void applyMembership() {
        if (members != null && (quorate || !owner.hasQuorateSession())) {
            fleet.updateMembers(members);
        }
    }
}
