package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This control sidecar's links to the others: each dials every other one that it knows and sends on its own link; what
 * others send comes on theirs. A beat on each link tells sessions and finds a dead peer, as a cut says nothing.
 */
final class ControlMesh {
    private static final Logger LOG = LoggerFactory.getLogger(ControlMesh.class);
    private static final double HEARTBEAT_INTERVAL_MS = 300;
    private static final double HEARTBEAT_TIMEOUT_MS = 1_200; // without an answer to a beat a link counts as dead
    private static final double CONNECT_TIMEOUT_MS = 700;
    private static final double RECONNECT_BACKOFF_MS = 250;
    /** Control sidecars known at once. Beyond, the one that is dead for longest makes room. */
    static final int MAX_PEERS = 64;
    /** An address that has not answered for so long and that nobody vouches for is forgotten: replaced machines. */
    static final double DEAD_PEER_RETENTION_MS = 60_000;
    /** What a peer says of its quorum counts for so long: three beats. */
    private static final double QUORUM_REPORT_VALIDITY_MS = 1_000;

    /**
     * A control sidecar that has said hello and has been heard lately.
     *
     * @param durable whether it has a disk; one without is a relay
     */
    record Peer(Member member, String identity, boolean durable, double lastReceivedAt, double firstReceivedAt) {}

    /** Tells what others have to know, and takes what they send. */
    interface Handler {
        ControlHeartbeat heartbeat(long sequence);

        void received(String address, Object message);

        /** A link of ours is up: what the peer may lack is sent. */
        void linkUp(String address);

        /** Whether the address is kept however long it is dead: a seed, or an acceptor's. */
        boolean isRetained(String address);
    }

    private final Scheduler loop;
    private final MessageTransport transport;
    private final ControlHello hello;
    private final Handler handler;
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private long sequence;

    ControlMesh(Scheduler loop, MessageTransport transport, ControlHello hello, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.hello = hello;
        this.handler = handler;
    }

    void start() {
        sendHeartbeats();
    }

    /** SocketAddresses of control sidecars, from the seeds or from others. */
    void addAddresses(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(hello.member.address) && !links.containsKey(address) && ensureCapacity()) {
                Link link = new Link(address);
                links.put(address, link);
                link.connect();
            }
        }
    }

    /** Whether one more link fits, after the one that is dead for longest was removed where need be. */
    private boolean ensureCapacity() {
        if (links.size() < MAX_PEERS) {
            return true;
        }
        Link oldest = null;
        for (Link link : links.values()) {
            if (!link.isUp()
                    && !handler.isRetained(link.address)
                    && (oldest == null || link.lastUpAt < oldest.lastUpAt)) {
                oldest = link;
            }
        }
        if (oldest != null) {
            oldest.remove();
        }
        return oldest != null;
    }

    /** Drops what has been dead for long and is neither a seed nor an acceptor. */
    private void evictDeadPeers() {
        double before = loop.now() - DEAD_PEER_RETENTION_MS;
        for (Link link : List.copyOf(links.values())) {
            if (!link.isUp() && link.lastUpAt < before && !handler.isRetained(link.address)) {
                LOG.info("peer evicted peer={}", link.address);
                link.remove();
            }
        }
        peers.values().removeIf(p -> p.lastReceivedAt() < before);
    }

    /** What is known of the control sidecar at that address; null where none was heard. */
    Peer peer(String address) {
        return peers.get(address);
    }

    /** This process heard nobody for so long: nobody was silent to it meanwhile. */
    void stalled(double stalledMs) {
        links.values().forEach(l -> l.lastAckAt += stalledMs);
    }

    /** How many addresses are known, the own one not among them. */
    int addressCount() {
        return links.size();
    }

    /** Own address and those of the links that are up, without relays. */
    List<String> liveAddresses() {
        List<String> live = new ArrayList<>();
        if (hello.durable) {
            live.add(hello.member.address);
        }
        links.values().stream().filter(l -> l.isUp() && !isRelay(l.address)).forEach(l -> live.add(l.address));
        return live;
    }

    /** Whether what lives at the address has said that it has no disk. */
    private boolean isRelay(String address) {
        Peer peer = peers.get(address);
        return peer != null && !peer.durable();
    }

    /** All that are known, those that are up first: for who seeks a control sidecar and cannot be told which lives. */
    List<String> addressesLiveFirst() {
        Set<String> all = new LinkedHashSet<>(liveAddresses());
        links.keySet().stream().filter(a -> !isRelay(a)).forEach(all::add);
        return new ArrayList<>(all);
    }

    /** A control sidecar that lately said that it hears a quorum; null where none did. */
    String quorateAddress() {
        double since = loop.now() - QUORUM_REPORT_VALIDITY_MS;
        return links.values().stream()
                .filter(l -> l.isUp() && l.quorumReportedAt >= since)
                .map(l -> l.address)
                .findFirst()
                .orElse(null);
    }

    /** Control sidecars heard within so many milliseconds, this one not among them. */
    List<Peer> peers(double within) {
        double since = loop.now() - within;
        return peers.values().stream().filter(p -> p.lastReceivedAt() >= since).toList();
    }

    void send(String address, Object message) {
        if (address.equals(hello.member.address)) {
            loop.execute(() -> handler.received(address, message));
            return;
        }
        Link link = links.get(address);
        if (link != null && link.isUp()) {
            link.connection.send(message);
        }
    }

    /** To all that are up, but for relays. */
    void broadcast(Object message) {
        for (Link link : links.values()) {
            if (link.isUp() && !isRelay(link.address)) {
                link.connection.send(message);
            }
        }
    }

    /** A control sidecar has said hello on a connection of its own. */
    void helloReceived(ControlHello from) {
        recordReceived(from);
        if (from.durable) { // a relay asks for what it needs, and is of no use itself
            addAddresses(List.of(from.member.address));
        }
        Link link = links.get(from.member.address);
        if (link != null) {
            link.reconnectNow();
        }
    }

    /**
     * Something came on a connection that began with this hello. Late words of an earlier life at the same address
     * show another identity, until the present one speaks again: it then counts as heard from that moment on.
     */
    void recordReceived(ControlHello from) {
        String address = from.member.address;
        Peer lastSeen = peers.get(address);
        boolean same = lastSeen != null && lastSeen.identity().equals(from.identity);
        double now = loop.now();
        peers.put(
                address,
                new Peer(from.member, from.identity, from.durable, now, same ? lastSeen.firstReceivedAt() : now));
    }

    private void sendHeartbeats() {
        sequence++;
        ControlHeartbeat heartbeat = handler.heartbeat(sequence);
        links.values().forEach(l -> l.sendHeartbeat(heartbeat));
        evictDeadPeers();
        loop.after(HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
    }

    private final class Link implements MessageLink.Handler {
        private final String address;
        private final InetSocketAddress to;
        private MessageLink connection;
        private double lastAckAt;
        private double reconnectAt;
        private double lastUpAt;
        private double quorumReportedAt = Double.NEGATIVE_INFINITY;
        private boolean removed;

        Link(String address) {
            this.address = address;
            this.lastUpAt = loop.now();
            this.to = SocketAddresses.socketAddress(address);
        }

        boolean isUp() {
            return connection != null && connection.isOpen();
        }

        /** Ends the link and forgets the address. */
        void remove() {
            removed = true;
            links.remove(address);
            if (connection != null) {
                connection.end();
            }
        }

        void connect() {
            connection = transport.open(to, CONNECT_TIMEOUT_MS, this);
        }

        /** It lives: no waiting before the next attempt. */
        void reconnectNow() {
            if (connection == null) {
                reconnectAt = loop.now();
            }
        }

        @Override
        public void opened(MessageLink opened) {
            if (removed) {
                opened.end();
                return;
            }
            lastAckAt = loop.now();
            lastUpAt = lastAckAt;
            opened.send(hello);
            LOG.info("peer link up peer={}", address);
            handler.linkUp(address);
        }

        @Override
        public void received(MessageLink from, Object message) {
            if (message instanceof HeartbeatAck answer && from == connection) {
                lastAckAt = loop.now();
                lastUpAt = lastAckAt;
                quorumReportedAt = answer.quorate ? lastAckAt : Double.NEGATIVE_INFINITY;
                addAddresses(answer.controlAddresses);
            }
        }

        @Override
        public void closed(MessageLink ended) {
            if (connection == ended) {
                connection = null;
                reconnectAt = loop.now() + RECONNECT_BACKOFF_MS;
            }
        }

        void sendHeartbeat(ControlHeartbeat heartbeat) {
            if (connection == null) {
                if (loop.now() >= reconnectAt) {
                    connect();
                }
            } else if (connection.isOpen()) {
                double elapsedMs = loop.now() - lastAckAt;
                if (elapsedMs > HEARTBEAT_TIMEOUT_MS) {
                    LOG.info("heartbeat timeout peer={} elapsedMs={}", address, Math.round(elapsedMs));
                    connection.end();
                } else {
                    connection.send(heartbeat);
                }
            }
        }
    }
}
