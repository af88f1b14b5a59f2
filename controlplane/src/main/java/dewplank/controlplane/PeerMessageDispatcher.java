package dewplank.controlplane;

import dewplank.membership.SessionTable;
import dewplank.message.ControlHeartbeat;
import dewplank.message.EndpointList;
import dewplank.message.HeartbeatAck;
import dewplank.message.QuotaReply;
import dewplank.net.Scheduler;
import dewplank.register.RegisterMessage;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;

/**
 * Passes each message from a control plane to the component that handles it: register, sessions, endpoint list,
 * election or quotas.
 *
 * <p>Handles messages from peers and those that this process sends to itself; ignores a message of any other type. Must
 * be used on the loop's thread only.
 */
final class PeerMessageDispatcher {
    private final Scheduler loop;
    private final ConfigurationStore configuration;
    private final SessionTable sessionTable;
    private final DataPlaneSessions sessions;
    private final ControlMesh mesh;
    private final EndpointPoller poller;
    private final Storage storage;
    private final SingletonRoles roles;
    private final FounderTracker founderTracker;
    private final QuotaShares quotaShares;
    private final QuotaTokens quotaTokens;

    PeerMessageDispatcher(
            Scheduler loop,
            ConfigurationStore configuration,
            SessionTable sessionTable,
            DataPlaneSessions sessions,
            ControlMesh mesh,
            EndpointPoller poller,
            Storage storage,
            SingletonRoles roles,
            FounderTracker founderTracker,
            QuotaShares quotaShares,
            QuotaTokens quotaTokens) {
        this.loop = loop;
        this.configuration = configuration;
        this.sessionTable = sessionTable;
        this.sessions = sessions;
        this.mesh = mesh;
        this.poller = poller;
        this.storage = storage;
        this.roles = roles;
        this.founderTracker = founderTracker;
        this.quotaShares = quotaShares;
        this.quotaTokens = quotaTokens;
    }

    /** @param from the sender's address on the links, as IP:PORT */
    void dispatch(String from, Object message) {
        if (message instanceof RegisterMessage registerMessage) {
            configuration.handleMessage(registerMessage);
        } else if (message instanceof ControlHeartbeat heartbeat) {
            sessionTable.onSessionsReported(loop.now(), from, heartbeat.sessions);
            mesh.addAddresses(heartbeat.controlAddresses);
            founderTracker.onIdentitiesReported(from, heartbeat.founders);
        } else if (message instanceof EndpointList list) {
            onEndpointList(list);
        } else if (message instanceof VoteRequest request) {
            roles.onVoteRequest(from, request);
        } else if (message instanceof VoteReply reply) {
            roles.onVoteReply(reply);
        } else if (message instanceof HeartbeatAck ack) {
            quotaShares.onAcknowledged(ack);
        } else if (message instanceof QuotaReply reply) {
            quotaTokens.onReply(reply);
        }
    }

    private void onEndpointList(EndpointList list) {
        if (poller.receive(list)) {
            storage.saveList(list);
            sessions.pushUpdates();
        }
    }
}
