package dewplank.dataplane;

import dewplank.membership.Member;
import dewplank.net.EventLoop;
import dewplank.routing.FleetVotes;
import dewplank.routing.HealthSummary;
import dewplank.routing.ServerState;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells peers once a second what is thought of servers, and hears them: datagrams, as one that is lost does no harm.
 */
final class HealthExchange {
    private static final Logger LOG = LoggerFactory.getLogger(HealthExchange.class);
    private static final double TELL_EVERY_MS = 1_000;
    private static final double OBSERVED_WITHIN_MS = 5_000; // a server served here so long ago still has this vote
    /** Peers told each second, drawn anew: keeps bytes and datagrams of a large fleet bounded. */
    private static final int MOST_TOLD = 16;

    private final EventLoop loop;
    private final FleetView fleet;
    private final FleetVotes votes;
    private final Member self;
    private final Random random;
    private final DatagramSocket socket;
    private int sequence;

    HealthExchange(EventLoop loop, FleetView fleet, FleetVotes votes, Member self, Random random) throws IOException {
        this.loop = loop;
        this.fleet = fleet;
        this.votes = votes;
        this.self = self;
        this.random = random;
        this.socket = new DatagramSocket(Sockets.address(self.address));
    }

    void start() {
        Thread thread = new Thread(this::receive, "peers");
        thread.setDaemon(true);
        thread.start();
        loop.after(TELL_EVERY_MS * random.nextDouble(), this::tell);
    }

    void close() {
        socket.close();
    }

    private void tell() {
        if (socket.isClosed()) {
            return;
        }
        double now = loop.now();
        votes.forgetStale(now);
        byte[] bytes = summary(now).bytes();
        List<Member> peers = new ArrayList<>(fleet.members());
        peers.removeIf(m -> !m.role.equals(Member.DATA) || m.address.equals(self.address));
        Collections.shuffle(peers, random);
        for (Member peer : peers.subList(0, Math.min(MOST_TOLD, peers.size()))) {
            send(bytes, Sockets.address(peer.address));
        }
        loop.after(TELL_EVERY_MS, this::tell);
    }

    private HealthSummary summary(double now) {
        List<Integer> unhealthy = new ArrayList<>();
        List<Integer> healthy = new ArrayList<>();
        for (Server server : fleet.allServers()) {
            ServerState s = server.state;
            if (s.health().unhealthy(now)) {
                unhealthy.add(s.instanceId().hashCode());
            } else if (now - s.health().lastHealthy() <= OBSERVED_WITHIN_MS) {
                healthy.add(s.instanceId().hashCode());
            }
        }
        return new HealthSummary(self.incarnation, ++sequence, unhealthy, healthy);
    }

    private void send(byte[] bytes, InetSocketAddress to) {
        try {
            socket.send(new DatagramPacket(bytes, bytes.length, to));
        } catch (IOException e) { // a peer that can't be reached for now
            LOG.debug("telling {} failed", to, e);
        }
    }

    private void receive() {
        byte[] buffer = new byte[HealthSummary.MOST_BYTES + 1];
        while (!socket.isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(packet);
            } catch (IOException e) {
                continue; // closed, or a peer's refusal of an earlier datagram
            }
            byte[] bytes = java.util.Arrays.copyOf(buffer, packet.getLength());
            HealthSummary summary = HealthSummary.of(bytes);
            if (summary != null) {
                String from = packet.getAddress().getHostAddress();
                loop.execute(() -> votes.hear(loop.now(), from, summary));
            }
        }
    }
}
