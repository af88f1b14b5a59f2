package dewplank.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What peers tell of the health of servers, and the verdict on it. Unlike in the sidecar's own design only peers vote
 * that have sent to the server lately: at many sidecars few of them see a failing server, and silence of the rest must
 * not acquit it. For the same reason the number of failures that a verdict needs is met by all that are told together:
 * of 90 sidecars none sees three of one server within its window.
 */
public final class HealthVotes {
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();
    private static final RoutingParameters.HealthGossip EXCHANGE = RoutingParameters.DEFAULTS.healthGossip();

    private record Suspicion(int failures, double lastAt) {}

    /** A summary with its ages turned into times of this sidecar's clock. */
    private record Heard(
            double at, HealthSummary summary, Map<Integer, Suspicion> suspected, Map<Integer, Double> healthyAt) {}

    private final Policy policy;
    private final Map<String, Heard> peers = new HashMap<>();

    public HealthVotes() {
        this(Policy.ALL_ENABLED);
    }

    public HealthVotes(Policy policy) {
        this.policy = policy;
    }

    /** One that comes late, twice or after a newer one changes nothing. */
    public void recordSummary(double now, String peer, HealthSummary summary) {
        Heard last = peers.get(peer);
        boolean room = last != null || peers.size() < EXCHANGE.maxPeers();
        if (room && summary.isNewerThan(last == null ? null : last.summary())) {
            Map<Integer, Suspicion> suspected = new HashMap<>();
            summary.suspected().forEach(s -> suspected.put(s.server(), new Suspicion(s.failures(), now - s.ageMs())));
            Map<Integer, Double> healthyAt = new HashMap<>();
            summary.healthy().forEach(h -> healthyAt.put(h.server(), now - h.ageMs()));
            peers.put(peer, new Heard(now, summary, suspected, healthyAt));
        }
    }

    /** Lets go of what is stale. */
    public void evictStale(double now) {
        for (Iterator<Heard> i = peers.values().iterator(); i.hasNext(); ) {
            if (now - i.next().at() > EXCHANGE.summaryValidMs()) {
                i.remove();
            }
        }
    }

    /**
     * Whether a simple majority of those that vote finds the server unhealthy, and enough requests have failed there.
     * A tie goes by own traffic.
     */
    public boolean isEjected(double now, String server, OutcomeWindow own) {
        if (!policy.isEnabled(Mechanism.CONDEMNATION)) {
            return false;
        }
        int floor = policy.isEnabled(Mechanism.POOLED_FAILURES) ? 1 : EJECTION.minFailures(); // of one data plane's
        Integer hash = server.hashCode();
        double servedAt = own.lastSuccessAtMs();
        for (Heard heard : peers.values()) {
            if (now - heard.at() <= EXCHANGE.summaryValidMs()) {
                servedAt = Math.max(servedAt, heard.healthyAt().getOrDefault(hash, Double.NEGATIVE_INFINITY));
            }
        }
        boolean ownVote = own.isUnhealthy(now, floor) && own.lastFailureAtMs() >= servedAt - EJECTION.outdatedAfterMs();
        int failures = ownVote ? own.failureCount(now) : 0;
        int votes = ownVote ? 1 : 0;
        int voters = 1;
        for (Heard heard : peers.values()) {
            if (now - heard.at() > EXCHANGE.summaryValidMs()) {
                continue;
            }
            Suspicion suspicion = heard.suspected().get(hash);
            if (suspicion != null) {
                boolean stands =
                        suspicion.failures() >= floor && suspicion.lastAt() >= servedAt - EJECTION.outdatedAfterMs();
                failures += stands ? suspicion.failures() : 0;
                votes += stands ? 1 : 0;
                voters++;
            } else if (heard.healthyAt().containsKey(hash)) {
                voters++;
            }
        }
        return failures >= EJECTION.minFailures() && (2 * votes > voters || 2 * votes == voters && ownVote);
    }
}
