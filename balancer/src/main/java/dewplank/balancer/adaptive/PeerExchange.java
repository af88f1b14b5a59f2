package dewplank.balancer.adaptive;

import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Settings;
import dewplank.balancer.health.PeerSummary;
import dewplank.balancer.health.PeerVotes;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Broadcasts this instance's own health votes to its peers once a second, and counts the votes of its
 * peers.
 */
final class PeerExchange {
    private static final double BROADCAST_INTERVAL_MS = 1_000;

    private final Settings settings;
    private final Step step;
    private final EndpointTable endpoints;
    private final RandomGenerator random;
    private final PeerVotes<Integer> votes = new PeerVotes<>();

    PeerExchange(Settings settings, Step step, EndpointTable endpoints, RandomGenerator random) {
        this.settings = settings;
        this.step = step;
        this.endpoints = endpoints;
        this.random = random;
    }

    /** Starts at a random time within the interval, so that peers do not all send at the same time. */
    void start() {
        step.schedule(BROADCAST_INTERVAL_MS * random.nextDouble(), this::broadcast);
    }

    private void broadcast() {
        List<Integer> unhealthy = new ArrayList<>();
        for (ServerState server : endpoints.servers()) {
            if (endpoints.isListed(server) && server.health.isUnhealthy(step.nowMs())) {
                unhealthy.add(server.id.hashCode());
            }
        }
        step.emit(new BroadcastSummary(new PeerSummary(step.nowMs(), unhealthy).encode()));
        step.schedule(BROADCAST_INTERVAL_MS, this::broadcast);
    }

    void receive(PeerSummaryReceived event) {
        PeerSummary summary = PeerSummary.decode(event.bytes());
        if (summary != null && event.peer() >= 0 && event.peer() < settings.replicaCount()) {
            votes.receive(step.nowMs(), event.peer(), summary);
        }
    }

    /** Whether the server is to be ejected, according to the votes of this instance and its peers. */
    boolean isVotedUnhealthy(ServerState server) {
        return votes.isUnhealthy(step.nowMs(), server.id, server.health.isUnhealthy(step.nowMs()));
    }
}
