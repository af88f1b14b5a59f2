package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.QuotaRequest;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that another process has opened. Its first message determines whether it is a control plane's link or a
 * data plane's session. An unexpected message closes the connection. Must be used on the loop's thread
 * only.
 */
final class InboundLink implements MessageLink.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(InboundLink.class);

    private final boolean durable;
    private final ControlMesh mesh;
    private final DataPlaneSessions sessions;
    private final QuorumConfirmation confirmation;
    private final PeerMessageDispatcher dispatcher;
    private final QuotaShares quotaShares;
    private final QuotaTokens quotaTokens;
    private ControlHello peer;
    private DataPlaneSessions.Session session;

    /** @param durable whether this process has a disk */
    InboundLink(
            boolean durable,
            ControlMesh mesh,
            DataPlaneSessions sessions,
            QuorumConfirmation confirmation,
            PeerMessageDispatcher dispatcher,
            QuotaShares quotaShares,
            QuotaTokens quotaTokens) {
        this.durable = durable;
        this.mesh = mesh;
        this.sessions = sessions;
        this.confirmation = confirmation;
        this.dispatcher = dispatcher;
        this.quotaShares = quotaShares;
        this.quotaTokens = quotaTokens;
    }

    @Override
    public void received(MessageLink connection, Object message) {
        if (!isComplete(message)) {
            LOG.warn(
                    "internal connection closed: incomplete {}",
                    message.getClass().getSimpleName());
            connection.close();
        } else if (peer != null) {
            onPeerMessage(connection, message);
        } else if (message instanceof ControlHello hello && session == null) {
            peer = hello;
            mesh.onHello(hello);
        } else if (message instanceof SessionOpen opening && session == null) {
            session = sessions.open(connection, opening).orElse(null);
        } else if (message instanceof SessionHeartbeat heartbeat && session != null) {
            session.onHeartbeat(heartbeat);
        } else if (message instanceof QuotaRequest request && session != null) {
            quotaTokens.onRequest(request, connection::send);
        } else {
            connection.close();
        }
    }

    /** Whether a message names its members in full. An absent field would fail periodic tasks that read it later. */
    private static boolean isComplete(Object message) {
        if (message instanceof ControlHello hello) {
            return hello.identity != null && isComplete(hello.member);
        }
        if (message instanceof SessionOpen opening) {
            return isComplete(opening.member);
        }
        return !(message instanceof ControlHeartbeat heartbeat)
                || heartbeat.sessions == null
                || heartbeat.sessions.stream().allMatch(InboundLink::isComplete);
    }

    private static boolean isComplete(Member member) {
        return member != null && member.isComplete();
    }

    private void onPeerMessage(MessageLink connection, Object message) {
        mesh.recordReceived(peer);
        if (message instanceof ControlHeartbeat heartbeat) {
            connection.send(new HeartbeatAck(
                    heartbeat.sequence,
                    confirmation.canConfirm(),
                    addressesFor(peer),
                    quotaShares.grantFor(peer.member.address, heartbeat)));
        } else if (message instanceof QuotaRequest request) {
            quotaTokens.onRequest(request, connection::send);
        }
        dispatcher.dispatch(peer.member.address, message);
    }

    /**
     * Addresses to report in an acknowledgement: none if both processes have a disk, because these receive each other's
     * addresses in heartbeats. An acknowledgement from or to a control plane without a disk contains them.
     */
    private List<String> addressesFor(ControlHello other) {
        return durable && other.durable ? List.of() : mesh.liveAddresses();
    }

    @Override
    public void closed(MessageLink connection) {
        if (session != null) {
            session.onClosed();
        }
    }
}
