package dewplank.balancer.adaptive;

import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines which servers are ejected, and the small subset of servers that this instance mostly uses: the
 * first ones of each zone, in an order that differs between instances. This is deterministic subsetting
 * ("Site Reliability Engineering", O'Reilly 2016, chapter 20). If all instances used all servers,
 * observation windows would not fill, connections would be idle, and connection tables would overflow.
 */
final class WorkingSet {
    private static final double REVIEW_INTERVAL_MS = 250;
    private static final double MIN_LOCAL_SERVERS = 2; // half as many in each other zone
    private static final double CONNECTIONS_PER_SERVER = 20; // from all instances; servers handle it easily

    /** Mean interval between this instance's requests to each server that is added as its traffic grows. */
    private static final double SERVER_REQUEST_INTERVAL_MS = 300;

    private static final double CLOSE_UNUSED_AFTER_MS = 5_000;
    private static final double RATE_TIME_CONSTANT_MS = 5_000;

    private final Settings settings;
    private final Step step;
    private final EndpointTable endpoints;
    private final PeerExchange peers;
    private final DecayingSum requestRate = new DecayingSum(RATE_TIME_CONSTANT_MS);
    private final List<ServerState> listed = new ArrayList<>();
    private final List<ServerState> healthy = new ArrayList<>();
    private final List<ServerState> ejected = new ArrayList<>();
    private final List<ServerState> working = new ArrayList<>();
    private double nextReviewAtMs = Double.NEGATIVE_INFINITY;

    WorkingSet(Settings settings, Step step, EndpointTable endpoints, PeerExchange peers) {
        this.settings = settings;
        this.step = step;
        this.endpoints = endpoints;
        this.peers = peers;
    }

    /** The listed servers, except removed servers that are ejected. */
    List<ServerState> listed() {
        return listed;
    }

    /** The listed servers that are not ejected. */
    List<ServerState> healthy() {
        return healthy;
    }

    List<ServerState> ejected() {
        return ejected;
    }

    /** The servers in the working set. */
    List<ServerState> working() {
        return working;
    }

    /** Whether ejections are in effect: only while at least half of the servers are not ejected. */
    boolean ejectionsApply() {
        return 2 * healthy.size() >= listed.size();
    }

    void recordArrival() {
        requestRate.add(step.nowMs(), 1 / RATE_TIME_CONSTANT_MS);
    }

    /** Makes the next {@link #review} due now, because the list or a server's health has changed. */
    void requestReview() {
        nextReviewAtMs = step.nowMs();
    }

    /** Updates ejections and the working set, if a review is due. */
    void review() {
        if (step.nowMs() < nextReviewAtMs) {
            return;
        }
        nextReviewAtMs = step.nowMs() + REVIEW_INTERVAL_MS;
        reviewEjections();
        reviewWorkingServers();
    }

    private void reviewEjections() {
        listed.clear();
        healthy.clear();
        ejected.clear();
        for (ServerState server : endpoints.servers()) {
            if (endpoints.isListed(server)) {
                server.isEjected = peers.isVotedUnhealthy(server);
                server.isInWorkingSet = false;
                if (!server.isRemoved || !server.isEjected) { // others do not count in ejectionsApply()
                    listed.add(server);
                }
                (server.isEjected ? ejected : healthy).add(server);
            }
        }
    }

    private void reviewWorkingServers() {
        working.clear();
        List<ServerState> eligible = new ArrayList<>(ejectionsApply() ? healthy : listed);
        eligible.sort(Comparator.comparingLong(server -> server.subsettingOrder));
        double maxLocal = maxLocalServers();
        Map<String, Integer> countByZone = new HashMap<>();
        for (ServerState server : eligible) {
            double max = server.isLocal ? maxLocal : maxLocal / 2;
            if (countByZone.merge(server.endpoint.zone(), 1, Integer::sum) <= max) {
                working.add(server);
                server.isInWorkingSet = true;
            } else {
                closeUnusedConnections(server);
            }
        }
    }

    private double maxLocalServers() {
        Set<String> zones = new HashSet<>();
        for (ServerState server : listed) {
            zones.add(server.endpoint.zone());
        }
        double size = CONNECTIONS_PER_SERVER * listed.size() / Math.max(1, settings.replicaCount())
                + requestRate.valueAt(step.nowMs()) * SERVER_REQUEST_INTERVAL_MS;
        return Math.max(MIN_LOCAL_SERVERS, 2 * size / (zones.size() + 1));
    }

    /**
     * Closes connections that are no longer used: a full connection table slows its server and keeps other
     * instances from connecting.
     */
    private void closeUnusedConnections(ServerState server) {
        double unusedMs = step.nowMs() - server.lastUseAtMs;
        boolean isUnused = server.inFlight.isEmpty() && unusedMs > CLOSE_UNUSED_AFTER_MS;
        if (server.connections > 0 && isUnused) {
            server.connections = 0;
            step.emit(new CloseIdleConnections(server.id));
        }
    }
}
