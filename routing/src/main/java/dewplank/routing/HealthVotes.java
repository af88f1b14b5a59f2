package dewplank.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The fleet's verdict on a server: a vote over what this data plane and its peers observed of it. Fed by the receiver
 * of health summaries, used by {@link ServerPicker}; both on the event loop. No I/O, and time is given with each call,
 * in milliseconds of the loop's clock.
 *
 * <p>Outlier ejection as in Envoy and gRPC, with two differences. Only those vote that sent to the server lately: of
 * many data planes few see a failing server, and the silence of the others must not acquit it. And the least number of
 * failures is met by all voters together: of ninety data planes none sees three failures of one server within its
 * window.
 */
public final class HealthVotes {
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();
    private static final RoutingParameters.HealthGossip GOSSIP = RoutingParameters.DEFAULTS.healthGossip();

    /** A server's failures at one peer; the time is of this data plane's clock. */
    private record Suspicion(int failures, double lastFailureAtMs) {}

    /** A peer's newest summary, by hashes of servers' ids, its ages turned into times of this data plane's clock. */
    private record PeerReport(
            double receivedAtMs,
            HealthSummary summary,
            Map<Integer, Suspicion> suspected,
            Map<Integer, Double> servedAtMs) {
        static PeerReport of(double nowMs, HealthSummary summary) {
            Map<Integer, Suspicion> suspected = new HashMap<>();
            for (HealthSummary.Suspected server : summary.suspected()) {
                suspected.put(server.server(), new Suspicion(server.failures(), nowMs - server.ageMs()));
            }
            Map<Integer, Double> servedAtMs = new HashMap<>();
            for (HealthSummary.Healthy server : summary.healthy()) {
                servedAtMs.put(server.server(), nowMs - server.ageMs());
            }
            return new PeerReport(nowMs, summary, suspected, servedAtMs);
        }

        boolean isValid(double nowMs) {
            return nowMs - receivedAtMs <= GOSSIP.summaryValidMs();
        }
    }

    /** The count of one vote, this data plane's own voice first. */
    private static final class Tally {
        private final int minFailuresOfVoter;
        private final double servedAtMs;
        private final boolean ownVote;
        private int failures;
        private int votesAgainst;
        private int voters = 1;

        Tally(int minFailuresOfVoter, double servedAtMs, boolean ownVote, int ownFailures) {
            this.minFailuresOfVoter = minFailuresOfVoter;
            this.servedAtMs = servedAtMs;
            this.ownVote = ownVote;
            this.failures = ownVote ? ownFailures : 0;
            this.votesAgainst = ownVote ? 1 : 0;
        }

        void add(PeerReport report, Integer serverHash) {
            Suspicion suspicion = report.suspected().get(serverHash);
            if (suspicion == null) {
                voters += report.servedAtMs().containsKey(serverHash) ? 1 : 0;
                return;
            }
            voters++;
            if (suspicion.failures() >= minFailuresOfVoter
                    && suspicion.lastFailureAtMs() >= servedAtMs - EJECTION.outdatedAfterMs()) {
                failures += suspicion.failures();
                votesAgainst++;
            }
        }

        boolean isAgainst() {
            boolean majority = 2 * votesAgainst > voters || 2 * votesAgainst == voters && ownVote;
            return failures >= EJECTION.minFailures() && majority;
        }
    }

    private final Policy policy;
    private final Map<String, PeerReport> reportsByPeer = new HashMap<>();

    /** Votes with all mechanisms enabled. */
    public HealthVotes() {
        this(Policy.ALL_ENABLED);
    }

    /** Votes under a policy, which may disable ejection or the pooling of failures. */
    public HealthVotes(Policy policy) {
        this.policy = policy;
    }

    /**
     * Takes a peer's summary in; one that is overdue, a duplicate or older than the last changes nothing, and beyond
     * the bound on peers nor does a new peer's.
     *
     * @param peer the address that it came from
     */
    public void recordSummary(double nowMs, String peer, HealthSummary summary) {
        PeerReport last = reportsByPeer.get(peer);
        boolean accepted =
                last == null ? reportsByPeer.size() < GOSSIP.maxPeers() : summary.isNewerThan(last.summary());
        if (accepted) {
            reportsByPeer.put(peer, PeerReport.of(nowMs, summary));
        }
    }

    /** Removes summaries that count no more; their peers are then accepted with any incarnation. */
    public void evictStale(double nowMs) {
        for (Iterator<PeerReport> reports = reportsByPeer.values().iterator(); reports.hasNext(); ) {
            if (!reports.next().isValid(nowMs)) {
                reports.remove();
            }
        }
    }

    /**
     * Whether a simple majority of the voters finds the server unhealthy, and enough requests failed there. A tie goes
     * by this data plane's own vote.
     *
     * @param instanceId the server's id
     * @param own what this data plane observed of it
     */
    public boolean isEjected(double nowMs, String instanceId, OutcomeWindow own) {
        if (!policy.isEnabled(Mechanism.CONDEMNATION)) {
            return false;
        }
        int minFailuresOfVoter = policy.isEnabled(Mechanism.POOLED_FAILURES) ? 1 : EJECTION.minFailures();
        Integer serverHash = instanceId.hashCode();
        double servedAtMs = newestSuccessAtMs(nowMs, serverHash, own);
        // a failure that is outdated by what the server served since is no vote
        boolean ownVote = own.isUnhealthy(nowMs, minFailuresOfVoter)
                && own.lastFailureAtMs() >= servedAtMs - EJECTION.outdatedAfterMs();
        Tally tally = new Tally(minFailuresOfVoter, servedAtMs, ownVote, ownVote ? own.failureCount(nowMs) : 0);
        for (PeerReport report : reportsByPeer.values()) {
            if (report.isValid(nowMs)) {
                tally.add(report, serverHash);
            }
        }
        return tally.isAgainst();
    }

    private double newestSuccessAtMs(double nowMs, Integer serverHash, OutcomeWindow own) {
        double newestMs = own.lastSuccessAtMs();
        for (PeerReport report : reportsByPeer.values()) {
            if (report.isValid(nowMs)) {
                newestMs = Math.max(newestMs, report.servedAtMs().getOrDefault(serverHash, Double.NEGATIVE_INFINITY));
            }
        }
        return newestMs;
    }
}
