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
 * The full mesh of links between control planes: each one connects to every other one that it knows, and sends on its
 * own links only; what others send arrives on theirs.
 *
 * <p>A heartbeat on each link carries the sessions of data planes and detects a dead peer, since a network partition
 * closes no connection. {@link ControlPlane} wires it; all methods run on the loop's thread only and none throws. Links
 * and peers are iterated in the order in which they were added, so that a simulation can be replayed.
 */
final class ControlMesh {
    private static final Logger LOG = LoggerFactory.getLogger(ControlMesh.class);

    private static final double HEARTBEAT_INTERVAL_MS = 300;
    /** Links at once. Beyond, the one that has been dead for longest is evicted. */
    static final int MAX_PEERS = 64;
    /** A replaced machine never answers again: its address is evicted after this, unless it is retained. */
    static final double DEAD_PEER_RETENTION_MS = 60_000;
    /** What a peer reports of its quorum is valid for three heartbeats. */
    private static final double QUORUM_REPORT_VALIDITY_MS = 1_000;

    /**
     * A control plane that has said hello to this one.
     *
     * @param member who it is
     * @param identity of its disk, or of its memory where it has none
     * @param durable whether it has a disk; one without is a relay
     * @param lastReceivedAt when its last message arrived, on the loop's clock in milliseconds
     * @param firstReceivedAt when its first message under this identity arrived
     */
    record Peer(Member member, String identity, boolean durable, double lastReceivedAt, double firstReceivedAt) {}

    /** Supplies what peers have to know, and takes what they send. On the loop's thread. */
    interface Handler {
        /** The heartbeat that goes to all peers now. */
        ControlHeartbeat heartbeat(long sequence);

        /** A message from this process to itself, or a peer's reply on the link to it. */
        void received(String address, Object message);

        /** A link to the peer is up: what the peer may lack is sent. */
        void linkUp(String address);

        /** Whether the address is never evicted: a seed's, or an acceptor's. */
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

    /** @param hello the first message on each link, which names this process and its disk */
    ControlMesh(Scheduler loop, MessageTransport transport, ControlHello hello, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.hello = hello;
        this.handler = handler;
    }

    void start() {
        sendHeartbeats();
    }

    /** Connects to those of the addresses that are new, as far as there is capacity. */
    void addAddresses(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(hello.member.address) && !links.containsKey(address) && ensureCapacity()) {
                PeerLink link = new PeerLink(loop, transport, hello, linkListener, address);
                links.put(address, link);
                link.connect();
            }
        }
    }

    /** Whether one more link fits, after the one that has been dead for longest was evicted where need be. */
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

    /** The control plane at that address; empty where nothing was received from it recently. */
    Optional<Peer> peer(String address) {
        return Optional.ofNullable(peers.get(address));
    }

    /** The event loop stood still for so long: nobody's acknowledgement is overdue by that time. */
    void stalled(double stalledMs) {
        links.values().forEach(l -> l.extendTimeout(stalledMs));
    }

    /** Number of addresses that this process connects to. */
    int addressCount() {
        return links.size();
    }

    /** Whether the link to the address is up. */
    boolean isUp(String address) {
        PeerLink link = links.get(address);
        return link != null && link.isUp();
    }

    /** Whether the links to all control planes that are known are up, but for those to relays. */
    boolean areAllControlPlanesUp() {
        return links.values().stream().allMatch(link -> link.isUp() || isRelay(link.address()));
    }

    /** Own address and those of the links that are up, without relays. */
    List<String> liveAddresses() {
        List<String> live = new ArrayList<>();
        if (hello.durable) {
            live.add(hello.member.address);
        }
        links.values().stream().filter(l -> l.isUp() && !isRelay(l.address())).forEach(l -> live.add(l.address()));
        return live;
    }

    /** Whether the peer at the address has reported that it has no disk. */
    private boolean isRelay(String address) {
        Peer peer = peers.get(address);
        return peer != null && !peer.durable();
    }

    /** All addresses without relays, those that are up first: for a caller that does not know which ones are alive. */
    List<String> addressesLiveFirst() {
        Set<String> all = new LinkedHashSet<>(liveAddresses());
        links.keySet().stream().filter(a -> !isRelay(a)).forEach(all::add);
        return new ArrayList<>(all);
    }

    /** A control plane that recently reported that it reaches a quorum; empty where none did. */
    Optional<String> quorateAddress() {
        double since = loop.now() - QUORUM_REPORT_VALIDITY_MS;
        return links.values().stream()
                .filter(l -> l.isUp() && l.hasReportedQuorumSince(since))
                .map(PeerLink::address)
                .findFirst();
    }

    /** Control planes from which a message arrived within so many milliseconds, this one not among them. */
    List<Peer> peers(double withinMs) {
        double since = loop.now() - withinMs;
        return peers.values().stream().filter(p -> p.lastReceivedAt() >= since).toList();
    }

    /**
     * Sends a message, which is lost where the link is down. A message to this process itself is handled in a later
     * task of the loop, never within this call.
     */
    void send(String address, Object message) {
        if (address.equals(hello.member.address)) {
            loop.execute(() -> handler.received(address, message));
            return;
        }
        PeerLink link = links.get(address);
        if (link != null) {
            link.send(message);
        }
    }

    /** Sends to all that are up, but for relays. */
    void broadcast(Object message) {
        for (PeerLink link : links.values()) {
            if (!isRelay(link.address())) {
                link.send(message);
            }
        }
    }

    /** A control plane has connected to this one and said hello. */
    void helloReceived(ControlHello from) {
        recordReceived(from);
        if (from.durable) { // a relay only requests; nothing is ever requested from it
            addAddresses(List.of(from.member.address));
        }
        PeerLink link = links.get(from.member.address);
        if (link != null) {
            link.skipBackoff();
        }
    }

    /**
     * A message arrived on a connection that began with this hello. Delayed messages of an earlier incarnation at the
     * same address show another identity, until the present one sends again: its time then begins anew.
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
        ControlHeartbeat heartbeat = handler.heartbeat(sequence);
        links.values().forEach(l -> l.sendHeartbeat(heartbeat));
        evictDeadPeers();
        loop.after(HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
    }

    private final class LinkListener implements PeerLink.Listener {
        @Override
        public void linkUp(String address) {
            handler.linkUp(address);
        }

        @Override
        public void received(String address, Object message) {
            handler.received(address, message);
        }

        @Override
        public void addressesReported(List<String> addresses) {
            addAddresses(addresses);
        }
    }
}
