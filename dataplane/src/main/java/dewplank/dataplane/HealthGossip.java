package dewplank.dataplane;

import dewplank.membership.Member;
import dewplank.net.EventLoop;
import dewplank.routing.HealthSummary;
import dewplank.routing.HealthVotes;
import dewplank.routing.OutcomeWindow;
import dewplank.routing.RoutingParameters;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges summaries of servers' health with other data planes. It sends its own summary to randomly selected peers
 * once a second, and soon after the set of suspected servers changes, and records the peers' summaries as votes. Uses
 * datagrams, because the next summary replaces a lost one. The methods must be called on the event loop's thread only;
 * a daemon thread receives the summaries.
 */
final class HealthGossip {
    private static final Logger LOG = LoggerFactory.getLogger(HealthGossip.class);
    /** Summaries that the event loop has not recorded yet; further ones are dropped. */
    private static final int MAX_PENDING_SUMMARIES = 512;

    private static final RoutingParameters.HealthGossip PARAMETERS = RoutingParameters.DEFAULTS.healthGossip();

    private final EventLoop loop;
    private final FleetMetadata fleet;
    private final HealthVotes votes;
    private final Member self;
    private final Random random;
    private final DatagramSocket socket;
    private final Semaphore pendingSummaries = new Semaphore(MAX_PENDING_SUMMARIES);
    private int sequence;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private Set<Integer> lastSentSuspected = Set.of();

    HealthGossip(EventLoop loop, FleetMetadata fleet, HealthVotes votes, Member self, Random random)
            throws IOException {
        this.loop = loop;
        this.fleet = fleet;
        this.votes = votes;
        this.self = self;
        this.random = random;
        this.socket = new DatagramSocket(SocketAddresses.parse(self.address));
    }

    /** Starts receiving, and starts sending at a random time within the first interval. */
    void start() {
        Thread thread = new Thread(this::receive, "peers");
        thread.setDaemon(true);
        thread.start();
        loop.after(PARAMETERS.intervalMs() * random.nextDouble(), this::sendIfDue);
    }

    private void sendIfDue() {
        if (socket.isClosed()) {
            return;
        }
        double now = loop.now();
        if (now - lastSentAt >= PARAMETERS.intervalMs() || !suspected(now).equals(lastSentSuspected)) {
            send(now);
        }
        loop.after(PARAMETERS.changeIntervalMs(), this::sendIfDue);
    }

    /** The suspected servers, identified as in summaries. */
    private Set<Integer> suspected(double now) {
        Set<Integer> suspected = new HashSet<>();
        for (Server server : fleet.allServers()) {
            if (server.state.outcomes().isSuspected(now)) {
                suspected.add(server.state.instanceId().hashCode());
            }
        }
        return suspected;
    }

    /** Stops sending and receiving. */
    void close() {
        socket.close();
    }

    private void send(double now) {
        votes.evictStale(now);
        HealthSummary summary = summary(now);
        lastSentAt = now;
        lastSentSuspected = summary.suspected().stream()
                .map(HealthSummary.Suspected::server)
                .collect(Collectors.toSet());
        byte[] bytes = summary.encode();
        List<Member> peers = new ArrayList<>(fleet.members());
        peers.removeIf(m -> !m.role.equals(Member.DATA) || m.address.equals(self.address));
        Collections.shuffle(peers, random);
        for (Member peer : peers.subList(0, Math.min(PARAMETERS.maxPeersPerRound(), peers.size()))) {
            send(bytes, peer);
        }
    }

    private HealthSummary summary(double now) {
        List<HealthSummary.Suspected> suspected = new ArrayList<>();
        List<HealthSummary.Healthy> healthy = new ArrayList<>();
        for (Server server : fleet.allServers()) {
            int hash = server.state.instanceId().hashCode();
            OutcomeWindow outcomes = server.state.outcomes();
            if (outcomes.isSuspected(now)) {
                suspected.add(new HealthSummary.Suspected(
                        hash, outcomes.failureCount(now), now - outcomes.lastFailureAtMs()));
            } else if (now - outcomes.lastSuccessAtMs() <= PARAMETERS.successValidMs()) {
                healthy.add(new HealthSummary.Healthy(hash, now - outcomes.lastSuccessAtMs()));
            }
        }
        // The encoding cuts off entries at the end that do not fit, so the latest successes come first.
        healthy.sort(Comparator.comparingDouble(HealthSummary.Healthy::ageMs));
        return new HealthSummary(self.incarnation, ++sequence, suspected, healthy);
    }

    /** A member may report a malformed address in its session; this must not prevent summaries to the others. */
    private void send(byte[] bytes, Member to) {
        try {
            socket.send(new DatagramPacket(bytes, bytes.length, SocketAddresses.parse(to.address)));
        } catch (IOException | IllegalArgumentException e) { // the next summary may reach the peer
            LOG.debug("health summary not sent peer={}", to.address, e);
        }
    }

    private void receive() {
        byte[] buffer = new byte[HealthSummary.MAX_BYTES + 1];
        while (!socket.isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(packet);
            } catch (IOException e) {
                continue; // the socket is closed, or a peer's host rejected an earlier datagram
            }
            byte[] bytes = Arrays.copyOf(buffer, packet.getLength());
            Optional<HealthSummary> summary = HealthSummary.decode(bytes);
            if (summary.isPresent() && pendingSummaries.tryAcquire()) {
                String from = packet.getAddress().getHostAddress();
                loop.execute(() -> record(from, summary.get()));
            }
        }
    }

    private void record(String from, HealthSummary summary) {
        pendingSummaries.release();
        votes.recordSummary(loop.now(), from, summary);
    }
}
