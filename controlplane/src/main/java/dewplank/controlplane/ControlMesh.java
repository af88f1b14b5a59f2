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
    private static final double BEAT_MS = 300;
    private static final double SILENCE_MS = 1_200; // without an answer to a beat a link counts as dead
    private static final double DIAL_TIMEOUT_MS = 700;
    private static final double REDIAL_MS = 250;
    /** Control sidecars known at once. Beyond, the one that is dead for longest makes room. */
    static final int MOST_PEERS = 64;
    /** An address that has not answered for so long and that nobody vouches for is forgotten: replaced machines. */
    static final double FORGET_MS = 60_000;
    /** What a peer says of its quorum counts for so long: three beats. */
    private static final double QUORATE_MS = 1_000;

    /**
     * A control sidecar that has said hello and has been heard lately.
     *
     * @param durable whether it has a disk; one without is a relay
     */
    record Peer(Member member, String identity, boolean durable, double heardAt, double since) {}

    /** Tells what others have to know, and takes what they send. */
    interface Handler {
        ControlHeartbeat told(long sequence);

        void received(String address, Object message);

        /** A link of ours is up: what the peer may lack is sent. */
        void linked(String address);

        /** Whether the address is kept however long it is dead: a seed, or an acceptor's. */
        boolean isKept(String address);
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
        beat();
    }

    /** SocketAddresses of control sidecars, from the seeds or from others. */
    void learn(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(hello.member.address) && !links.containsKey(address) && hasRoom()) {
                Link link = new Link(address);
                links.put(address, link);
                link.dial();
            }
        }
    }

    /** Whether one more link fits, after the one that is dead for longest was dropped where need be. */
    private boolean hasRoom() {
        if (links.size() < MOST_PEERS) {
            return true;
        }
        Link oldest = null;
        for (Link link : links.values()) {
            if (!link.isUp() && !handler.isKept(link.address) && (oldest == null || link.lastUp < oldest.lastUp)) {
                oldest = link;
            }
        }
        if (oldest != null) {
            oldest.drop();
        }
        return oldest != null;
    }

    /** Drops what has been dead for long and is neither a seed nor an acceptor. */
    private void forget() {
        double before = loop.now() - FORGET_MS;
        for (Link link : List.copyOf(links.values())) {
            if (!link.isUp() && link.lastUp < before && !handler.isKept(link.address)) {
                LOG.info("control sidecar {} is forgotten", link.address);
                link.drop();
            }
        }
        peers.values().removeIf(p -> p.heardAt() < before);
    }

    /** What is known of the control sidecar at that address; null where none was heard. */
    Peer peer(String address) {
        return peers.get(address);
    }

    /** This process heard nobody for so long: nobody was silent to it meanwhile. */
    void paused(double ms) {
        links.values().forEach(l -> l.answeredAt += ms);
    }

    /** How many addresses are known, the own one not among them. */
    int known() {
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
        double since = loop.now() - QUORATE_MS;
        return links.values().stream()
                .filter(l -> l.isUp() && l.quorateAt >= since)
                .map(l -> l.address)
                .findFirst()
                .orElse(null);
    }

    /** Control sidecars heard within so many milliseconds, this one not among them. */
    List<Peer> peers(double within) {
        double since = loop.now() - within;
        return peers.values().stream().filter(p -> p.heardAt() >= since).toList();
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
    void greeted(ControlHello from) {
        heard(from);
        if (from.durable) { // a relay asks for what it needs, and is of no use itself
            learn(List.of(from.member.address));
        }
        Link link = links.get(from.member.address);
        if (link != null) {
            link.greeted();
        }
    }

    /**
     * Something came on a connection that began with this hello. Late words of an earlier life at the same address
     * show another identity, until the present one speaks again: it then counts as heard from that moment on.
     */
    void heard(ControlHello from) {
        String address = from.member.address;
        Peer known = peers.get(address);
        boolean same = known != null && known.identity().equals(from.identity);
        double now = loop.now();
        peers.put(address, new Peer(from.member, from.identity, from.durable, now, same ? known.since() : now));
    }

    private void beat() {
        sequence++;
        ControlHeartbeat told = handler.told(sequence);
        links.values().forEach(l -> l.beat(told));
        forget();
        loop.after(BEAT_MS, this::beat);
    }

    private final class Link implements MessageLink.Handler {
        private final String address;
        private final InetSocketAddress to;
        private MessageLink connection;
        private double answeredAt;
        private double dialAt;
        private double lastUp;
        private double quorateAt = Double.NEGATIVE_INFINITY;
        private boolean dropped;

        Link(String address) {
            this.address = address;
            this.lastUp = loop.now();
            this.to = SocketAddresses.socketAddress(address);
        }

        boolean isUp() {
            return connection != null && connection.isOpen();
        }

        /** Ends the link and forgets the address. */
        void drop() {
            dropped = true;
            links.remove(address);
            if (connection != null) {
                connection.end();
            }
        }

        void dial() {
            connection = transport.open(to, DIAL_TIMEOUT_MS, this);
        }

        /** It lives: no waiting before the next attempt. */
        void greeted() {
            if (connection == null) {
                dialAt = loop.now();
            }
        }

        @Override
        public void opened(MessageLink opened) {
            if (dropped) {
                opened.end();
                return;
            }
            answeredAt = loop.now();
            lastUp = answeredAt;
            opened.send(hello);
            LOG.info("link to control sidecar {} is up", address);
            handler.linked(address);
        }

        @Override
        public void received(MessageLink from, Object message) {
            if (message instanceof HeartbeatAck answer && from == connection) {
                answeredAt = loop.now();
                lastUp = answeredAt;
                quorateAt = answer.quorate ? answeredAt : Double.NEGATIVE_INFINITY;
                learn(answer.controlAddresses);
            }
        }

        @Override
        public void closed(MessageLink ended) {
            if (connection == ended) {
                connection = null;
                dialAt = loop.now() + REDIAL_MS;
            }
        }

        void beat(ControlHeartbeat told) {
            if (connection == null) {
                if (loop.now() >= dialAt) {
                    dial();
                }
            } else if (connection.isOpen()) {
                if (loop.now() - answeredAt > SILENCE_MS) {
                    LOG.info("link to control sidecar {} is silent", address);
                    connection.end();
                } else {
                    connection.send(told);
                }
            }
        }
    }
}
