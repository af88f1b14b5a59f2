package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The full mesh of links between control planes: each control plane connects to all others whose addresses it has. It
 * sends messages on the links that it has opened, and receives the others' messages on the links that they have opened.
 *
 * <p>A heartbeat on each link carries the sessions of data planes and detects a dead peer, because a network partition
 * does not close connections. {@link ControlComponents} creates the mesh; its methods must be called on the loop's
 * thread only, and none throws. Links and peers are iterated in the order in which they were added, so that a
 * simulation can be replayed.
 */
final class ControlMesh {
    private static final Logger LOG = LoggerFactory.getLogger(ControlMesh.class);

    private static final double HEARTBEAT_INTERVAL_MS = 300;
    /** Maximum number of links. A further link evicts the one that has been down for longest. */
    static final int MAX_PEERS = 64;
    /**
     * An address whose link has been down for this time is evicted, unless it is retained: its machine was replaced.
     */
    static final double DEAD_PEER_RETENTION_MS = 60_000;
    /** A peer's report that it reaches a quorum is valid for three heartbeat intervals. */
    private static final double QUORUM_REPORT_VALIDITY_MS = 1_000;

    /**
     * A control plane whose hello this one has received.
     *
     * @param member its node name, address, zone and incarnation
     * @param identity the identity of its disk, or of its process if it has no disk
     * @param durable whether it uses a disk
     * @param lastReceivedAt when its last message arrived, on the loop's clock in milliseconds
     * @param firstReceivedAt when its first message under this identity arrived
     */
    record Peer(Member member, String identity, boolean durable, double lastReceivedAt, double firstReceivedAt) {}

    /** Supplies the heartbeats for peers and receives their messages. Called on the loop's thread. */
    interface Handler {
        /** Creates the heartbeat that is sent to all peers now. */
        ControlHeartbeat createHeartbeat(long sequence);

        /** Handles a message from this process to itself, or a peer's reply on the link to that peer. */
        void onMessage(String address, Object message);

        /** The link to the peer is up. Sends the state that the peer may not have yet. */
        void onLinkUp(String address);

        /** Whether the address is never evicted, because it belongs to a seed or an acceptor. */
        boolean isRetained(String address);
    }

    private final Scheduler loop;
    private final MessageTransport transport;
    private final ControlHello hello;
    private final Handler handler;
    private final PeerLink.Listener linkListener = new LinkListener();
    private final Map<String, PeerLink> links = new LinkedHashMap<>();
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private long sequence;

    /** @param hello the first message on each link, which identifies this process and its disk */
    ControlMesh(Scheduler loop, MessageTransport transport, ControlHello hello, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.hello = hello;
        this.handler = handler;
    }

    void start() {
        sendHeartbeats();
    }

    /** Connects to each address that is new, within the limit of {@link #MAX_PEERS} links. */
    void addAddresses(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(hello.member.address) && !links.containsKey(address) && ensureCapacity()) {
                PeerLink link = new PeerLink(loop, transport, hello, linkListener, address);
                links.put(address, link);
                link.connect();
            }
        }
    }

    /** Evicts the link that has been down for longest if the limit is reached; returns whether another link fits. */
    private boolean ensureCapacity() {
        if (links.size() < MAX_PEERS) {
            return true;
        }
        PeerLink oldest = null;
        for (PeerLink link : links.values()) {
            if (isEvictable(link) && (oldest == null || link.lastUpAt() < oldest.lastUpAt())) {
                oldest = link;
            }
        }
        if (oldest != null) {
            remove(oldest);
        }
        return oldest != null;
    }

    private boolean isEvictable(PeerLink link) {
        return !link.isUp() && !handler.isRetained(link.address());
    }

    private void evictDeadPeers() {
        double before = loop.now() - DEAD_PEER_RETENTION_MS;
        for (PeerLink link : List.copyOf(links.values())) {
            if (link.lastUpAt() < before && isEvictable(link)) {
                LOG.info("peer evicted peer={}", link.address());
                remove(link);
            }
        }
        peers.values().removeIf(p -> p.lastReceivedAt() < before);
    }

    private void remove(PeerLink link) {
        links.remove(link.address());
        link.remove();
    }

    /** The control plane at the address; empty if no message from it arrived recently. */
    Optional<Peer> peer(String address) {
        return Optional.ofNullable(peers.get(address));
    }

    /** Extends the acknowledgement timeouts of all links by the time for which the event loop stalled. */
    void extendTimeouts(double stalledMs) {
        links.values().forEach(l -> l.extendTimeout(stalledMs));
    }

    /** The number of addresses to which this process connects. */
    int addressCount() {
        return links.size();
    }

    /** Whether the link to the address is up. */
    boolean isUp(String address) {
        PeerLink link = links.get(address);
        return link != null && link.isUp();
    }

    /** Whether the links to all other control planes with a disk are up. */
    boolean areAllControlPlanesUp() {
        return links.values().stream().allMatch(link -> link.isUp() || isDiskless(link.address()));
    }

    /** The addresses of this process and of the links that are up, except those of control planes without a disk. */
    List<String> liveAddresses() {
        List<String> live = new ArrayList<>();
        if (hello.durable) {
            live.add(hello.member.address);
        }
        links.values().stream()
                .filter(l -> l.isUp() && !isDiskless(l.address()))
                .forEach(l -> live.add(l.address()));
        return live;
    }

    /** Whether the peer at the address has reported that it has no disk. */
    private boolean isDiskless(String address) {
        Peer peer = peers.get(address);
        return peer != null && !peer.durable();
    }

    /** All addresses except those of control planes without a disk; those whose links are up are the first ones. */
    List<String> addressesLiveFirst() {
        Set<String> all = new LinkedHashSet<>(liveAddresses());
        links.keySet().stream().filter(a -> !isDiskless(a)).forEach(all::add);
        return new ArrayList<>(all);
    }

    /** The address of a control plane that recently reported that it reaches a quorum; empty if none did. */
    Optional<String> quorateAddress() {
        double since = loop.now() - QUORUM_REPORT_VALIDITY_MS;
        return links.values().stream()
                .filter(l -> l.isUp() && l.hasReportedQuorumSince(since))
                .map(PeerLink::address)
                .findFirst();
    }

    /** The other control planes from which a message arrived within the last {@code withinMs}. */
    List<Peer> peers(double withinMs) {
        double since = loop.now() - withinMs;
        return peers.values().stream().filter(p -> p.lastReceivedAt() >= since).toList();
    }

    /**
     * Sends a message, which is lost if the link is down. A message to this process itself is handled in a later task
     * of the loop, never within this call.
     */
    void send(String address, Object message) {
        if (address.equals(hello.member.address)) {
            loop.execute(() -> handler.onMessage(address, message));
            return;
        }
        PeerLink link = links.get(address);
        if (link != null) {
            link.send(message);
        }
    }

    /** Sends a message on all links that are up, except those to control planes without a disk. */
    void broadcast(Object message) {
        for (PeerLink link : links.values()) {
            if (!isDiskless(link.address())) {
                link.send(message);
            }
        }
    }

    /** Handles the hello of a control plane that has connected to this one. */
    void onHello(ControlHello from) {
        recordReceived(from);
        if (from.durable) { // nothing is ever sent to a control plane without a disk
            addAddresses(List.of(from.member.address));
        }
        PeerLink link = links.get(from.member.address);
        if (link != null) {
            link.skipBackoff();
        }
    }

    /**
     * Records that a message arrived on a connection that began with this hello. Delayed messages of an earlier
     * incarnation at the same address have another identity and replace the record of the current incarnation until its
     * next message, from which {@link Peer#firstReceivedAt} is then counted.
     */
    void recordReceived(ControlHello from) {
        String address = from.member.address;
        Peer lastSeen = peers.get(address);
        boolean same = lastSeen != null && lastSeen.identity().equals(from.identity);
        double now = loop.now();
        double firstReceivedAt = same ? lastSeen.firstReceivedAt() : now;
        peers.put(address, new Peer(from.member, from.identity, from.durable, now, firstReceivedAt));
    }

    private void sendHeartbeats() {
        sequence++;
        ControlHeartbeat heartbeat = handler.createHeartbeat(sequence);
        links.values().forEach(l -> l.sendHeartbeat(heartbeat));
        evictDeadPeers();
        loop.after(HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
    }

    private final class LinkListener implements PeerLink.Listener {
        @Override
        public void onLinkUp(String address) {
            handler.onLinkUp(address);
        }

        @Override
        public void onMessage(String address, Object message) {
            handler.onMessage(address, message);
        }

        @Override
        public void onAddressesReported(List<String> addresses) {
            addAddresses(addresses);
        }
    }
}
