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
 * A session with one control plane: sends heartbeats with the versions that are in force here, and applies the updates
 * that it receives. Updates from a control plane without a quorum are deferred while there is no configuration here.
 * Created by {@link SessionClient}; must be used on the event loop's thread only.
 */
final class ControlSession implements MessageLink.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(ControlSession.class);

    /** Provides a session with the state of all sessions, and receives the session's events. */
    interface Owner {
        /** The sequence number of the next heartbeat; unique across all sessions. */
        long nextSequence();

        /** Whether updates from a control plane without a quorum are currently deferred. */
        boolean defersUpdatesWithoutQuorum();

        /** Whether the control plane of any open session reports a quorum. */
        boolean hasQuorateSession();

        /** Whether a session without a quorum can be replaced by a session with another control plane. */
        boolean hasReplacement();

        /** The control plane lost its quorum, and its session is about to be closed. */
        void onQuorumLost(ControlSession session);

        /** The control plane reported these addresses of control planes. */
        void onAddressesReported(List<String> addresses);

        /** The control plane replied to a quota request. */
        void onQuotaReply(QuotaReply reply);

        /** An update was applied. */
        void onUpdateApplied();

        /** The session was closed, or its connection could not be established. */
        void onSessionClosed(ControlSession session);
    }

    /** States that no configuration newer than the version had been chosen by that time of the loop's clock. */
    private record PendingConfirmation(long version, double atMs) {}

    private final Scheduler loop;
    private final Owner owner;
    private final FleetMetadata fleet;
    private final ConfigurationUpdater configurationUpdater;
    private final Member self;
    private final SessionParameters parameters;
    private final String address;
    private final PendingHeartbeats pendingHeartbeats;
    private final Deque<FleetUpdate> deferredUpdates = new ArrayDeque<>();
    /** Null before {@link #connect}. */
    private MessageLink link;

    private double lastMessageAt;
    private double lastQuorumAt;
    private boolean acknowledged;
    private boolean quorate;
    /** This control plane's confirmation of a version that is not in force here yet; null if there is none. */
    private PendingConfirmation pendingConfirmation;
    /** The membership that this control plane reported last; null before the first report. */
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
        this.configurationUpdater = new ConfigurationUpdater(fleet);
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

    /** Whether the control plane reported a quorum in its latest acknowledgement. */
    boolean isQuorate() {
        return quorate;
    }

    /** Whether the control plane has acknowledged a heartbeat and reported no quorum in its latest acknowledgement. */
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

    /** Extends the timeouts by a time during which this process was paused. */
    void excludePause(double pausedMs) {
        lastMessageAt += pausedMs;
        lastQuorumAt += pausedMs;
    }

    /** Called at each heartbeat interval: closes the session if a timeout has passed, else sends the next heartbeat. */
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
            owner.onQuorumLost(this);
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
            owner.onQuotaReply(reply);
        } else if (message instanceof FleetUpdate update) {
            deferredUpdates.add(update);
            applyDeferredUpdates();
        }
    }

    /** Sends a quota request. The reply is passed to the owner, or lost if the session closes. */
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
        owner.onAddressesReported(ack.controlAddresses);
        applyDeferredUpdates();
        applyMembership();
    }

    /**
     * The control plane created the acknowledgement after the heartbeat was sent, so its confirmation applies at least
     * to the time of sending minus the age of the confirmation.
     */
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
    public void closed(MessageLink closedLink) {
        owner.onSessionClosed(this);
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
            link.close(); // the next session starts from the version that is in force here
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
        owner.onUpdateApplied();
    }

    /** Returns whether the update's configuration is now in force, or is not newer than the one in force. */
    private boolean applyConfiguration(FleetUpdate update) {
        ConfigurationUpdater.Result result = configurationUpdater.apply(update);
        if (result instanceof ConfigurationUpdater.Result.Corrupt corrupt) {
            LOG.warn("configuration update rejected peer={} reason={}", address, corrupt.reason());
        }
        return result instanceof ConfigurationUpdater.Result.Applied;
    }

    /**
     * A control plane without a quorum has no information about the sessions of the other control planes. Its report of
     * the membership is used only if no open session has a quorum.
     */
    private void applyMembership() {
        if (members != null && (quorate || !owner.hasQuorateSession())) {
            fleet.updateMembers(members);
        }
    }
}
