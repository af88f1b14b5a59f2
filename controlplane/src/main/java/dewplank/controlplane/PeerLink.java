package dewplank.controlplane;

import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.QuotaReply;
import dewplank.net.Scheduler;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The outgoing link to one other control plane: connects, reconnects, and closes a connection whose heartbeats are not
 * acknowledged.
 *
 * <p>{@link ControlMesh} owns it and calls it on the loop's thread only. No method throws: a failed connection is
 * replaced at a later heartbeat.
 */
final class PeerLink implements MessageLink.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

    /** A connection is closed if no acknowledgement has arrived on it for this time, four heartbeat intervals. */
    private static final double HEARTBEAT_TIMEOUT_MS = 1_200;

    private static final double CONNECT_TIMEOUT_MS = 700;
    private static final double RECONNECT_BACKOFF_MS = 250;

    /** Receives the link's events. */
    interface Listener {
        /** A connection is open, and the hello was sent on it. */
        void onLinkUp(String address);

        /** The peer replied to a request, or acknowledged a heartbeat. */
        void onMessage(String address, Object message);

        /** The peer reported addresses of control planes. */
        void onAddressesReported(List<String> addresses);
    }

    private final Scheduler loop;
    private final MessageTransport transport;
    private final ControlHello hello;
    private final Listener listener;
    private final String address;
    private final InetSocketAddress socketAddress;
    private MessageLink connection;
    private double lastAckAt;
    private double reconnectAt;
    private double lastUpAt;
    private double quorumReportedAt = Double.NEGATIVE_INFINITY;
    private boolean removed;

    PeerLink(Scheduler loop, MessageTransport transport, ControlHello hello, Listener listener, String address) {
        this.loop = loop;
        this.transport = transport;
        this.hello = hello;
        this.listener = listener;
        this.address = address;
        this.lastUpAt = loop.now();
        this.socketAddress = SocketAddresses.parse(address);
    }

    String address() {
        return address;
    }

    boolean isUp() {
        return connection != null && connection.isOpen();
    }

    /** When the link was last up, or when it was created, on the loop's clock in milliseconds. */
    double lastUpAt() {
        return lastUpAt;
    }

    /** Whether the peer has reported since the given time that it reaches a quorum. */
    boolean hasReportedQuorumSince(double since) {
        return quorumReportedAt >= since;
    }

    void connect() {
        connection = transport.open(socketAddress, CONNECT_TIMEOUT_MS, this);
    }

    /** Removes the link: closes its connection, even one that is still being opened. */
    void remove() {
        removed = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Skips the backoff before the next connection attempt, because the peer has connected and so is running. */
    void skipBackoff() {
        if (connection == null) {
            reconnectAt = loop.now();
        }
    }

    /** Extends the timeout by the time for which the event loop stalled, because it read no acknowledgements then. */
    void extendTimeout(double stalledMs) {
        lastAckAt += stalledMs;
    }

    /** Sends a message; it is dropped if the link is down. */
    void send(Object message) {
        if (isUp()) {
            connection.send(message);
        }
    }

    /** Called once per interval: connects, sends the heartbeat, or closes a connection that has timed out. */
    void sendHeartbeat(ControlHeartbeat heartbeat) {
        if (connection == null) {
            if (loop.now() >= reconnectAt) {
                connect();
            }
        } else if (connection.isOpen()) {
            double elapsedMs = loop.now() - lastAckAt;
            if (elapsedMs > HEARTBEAT_TIMEOUT_MS) {
                LOG.info("heartbeat timeout peer={} elapsedMs={}", address, Math.round(elapsedMs));
                connection.close();
            } else {
                connection.send(heartbeat);
            }
        }
    }

    @Override
    public void opened(MessageLink opened) {
        if (removed) {
            opened.close();
            return;
        }
        lastAckAt = loop.now();
        lastUpAt = lastAckAt;
        opened.send(hello);
        LOG.info("peer link up peer={}", address);
        listener.onLinkUp(address);
    }

    @Override
    public void received(MessageLink from, Object message) {
        if (message instanceof HeartbeatAck ack && from == connection) {
            lastAckAt = loop.now();
            lastUpAt = lastAckAt;
            quorumReportedAt = ack.quorate ? lastAckAt : Double.NEGATIVE_INFINITY;
            listener.onAddressesReported(ack.controlAddresses);
            listener.onMessage(address, ack);
        } else if (message instanceof QuotaReply && from == connection) {
            listener.onMessage(address, message);
        }
    }

    @Override
    public void closed(MessageLink ended) {
        if (connection == ended) {
            connection = null;
            reconnectAt = loop.now() + RECONNECT_BACKOFF_MS;
        }
    }
}
