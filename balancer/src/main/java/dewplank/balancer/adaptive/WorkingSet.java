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
 * Which servers are ejected, and the few that this instance mostly uses: the first ones of each zone, in an
 * order of its own. This is deterministic subsetting ("Site Reliability Engineering", O'Reilly 2016, chapter
 * 20). If all instances met all servers, observation windows would not fill, connections would go idle and
 * tables overflow.
 */
final class WorkingSet {
    private static final double REVIEW_INTERVAL_MS = 250;
    private static final double MIN_LOCAL_SERVERS = 2; // half as many in other zones
    private static final double CONNECTIONS_PER_SERVER = 20; // of all instances: borne with ease
    private static final double VISIT_INTERVAL_MS = 300; // own traffic widens the set by one server for each
    private static final double CLOSE_UNUSED_AFTER_MS = 5_000;
    private static final double RATE_TIME_CONSTANT_MS = 5_000;

    private final Settings settings;
    private final Step step;
    private final EndpointTable endpoints;
    private final PeerExchange peers;
    private final DecayingSum ownRate = new DecayingSum(RATE_TIME_CONSTANT_MS);
    private final List<ServerState> listed = new ArrayList<>();
    private final List<ServerState> healthy = new ArrayList<>();
    private final List<ServerState> ejected = new ArrayList<>();
    private final List<ServerState> working = new ArrayList<>();
    private double reviewAtMs = Double.NEGATIVE_INFINITY;

    WorkingSet(Settings settings, Step step, EndpointTable endpoints, PeerExchange peers) {
        this.settings = settings;
        this.step = step;
        this.endpoints = endpoints;
        this.peers = peers;
    }

    /** Listed servers; one that has gone and is ejected does not count. */
    List<ServerState> listed() {
        return listed;
    }

    /** Listed servers that are not ejected. */
    List<ServerState> healthy() {
        return healthy;
    }

    List<ServerState> ejected() {
        return ejected;
    }

    /** The servers mostly used. */
    List<ServerState> working() {
        return working;
    }

    /** Ejections bind while at least half of the servers are free of one; below that they bind nobody. */
    boolean ejectionsBind() {
        return 2 * healthy.size() >= listed.size();
    }

    void recordArrival() {
        ownRate.add(step.nowMs(), 1 / RATE_TIME_CONSTANT_MS);
    }

    /** The next {@link #review} is due now: the list changed, or a verdict may have. */
    void requestReview() {
        reviewAtMs = step.nowMs();
    }

    /** Brings ejections and the set up to date, if that is due. */
    void review() {
        if (step.nowMs() < reviewAtMs) {
            return;
        }
        reviewAtMs = step.nowMs() + REVIEW_INTERVAL_MS;
        reviewEjections();
        reviewWorkingServers();
    }

    private void reviewEjections() {
        listed.clear();
        healthy.clear();
        ejected.clear();
        for (ServerState server : endpoints.servers()) {
            if (endpoints.isListed(server)) {
                server.isEjected = peers.findsUnhealthy(server);
                server.isInWorkingSet = false;
                if (!server.isGone || !server.isEjected) { // does not count for the floor
                    listed.add(server);
                }
                (server.isEjected ? ejected : healthy).add(server);
            }
        }
    }

    private void reviewWorkingServers() {
        working.clear();
        List<ServerState> eligible = new ArrayList<>(ejectionsBind() ? healthy : listed);
        eligible.sort(Comparator.comparingLong(server -> server.spreadOrder));
        double maxLocal = maxLocalServers();
        Map<String, Integer> taken = new HashMap<>();
        for (ServerState server : eligible) {
            double max = server.isLocal ? maxLocal : maxLocal / 2;
            if (taken.merge(server.endpoint.zone(), 1, Integer::sum) <= max) {
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
                + ownRate.at(step.nowMs()) * VISIT_INTERVAL_MS;
        return Math.max(MIN_LOCAL_SERVERS, 2 * size / (zones.size() + 1));
    }

    /** A full connection table slows its server, and keeps other instances out. */
    private void closeUnusedConnections(ServerState server) {
        double unusedMs = step.nowMs() - server.lastUseAtMs;
        boolean isUnused = server.inFlight.isEmpty() && unusedMs > CLOSE_UNUSED_AFTER_MS;
        if (server.connections > 0 && isUnused) {
            server.connections = 0;
            step.emit(new CloseIdleConnections(server.id));
        }
    }
}
