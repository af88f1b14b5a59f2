package dewplank.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Decides by a vote of this data plane and its peers whether a server is ejected. The receiver of health summaries
 * records the votes and {@link ServerPicker} queries the result, both on the event loop. No I/O; the caller passes the
 * time with each call, in milliseconds of the loop's clock.
 *
 * <p>This is outlier ejection as in Envoy and gRPC, with two differences. First, only data planes that recently sent
 * requests to the server vote: in a large fleet few data planes use a failing server, and the others must not count as
 * votes for it. Second, the minimum number of failures applies to the sum over all voters: with ninety data planes no
 * single one observes three failures of a server within its window.
 */
public final class HealthVotes {
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();
    private static final RoutingParameters.HealthGossip GOSSIP = RoutingParameters.DEFAULTS.healthGossip();

    /** The failures of a server that one peer reported, with the time on this data plane's clock. */
    private record PeerFailures(int failures, double lastFailureAtMs) {}

    /** A peer's newest summary by hash of the server's id, with ages converted to times on this data plane's clock. */
    private record PeerReport(
            double receivedAtMs,
            HealthSummary summary,
            Map<Integer, PeerFailures> suspected,
            Map<Integer, Double> servedAtMs) {
        static PeerReport of(double nowMs, HealthSummary summary) {
            Map<Integer, PeerFailures> suspected = new HashMap<>();
            for (HealthSummary.Suspected server : summary.suspected()) {
                suspected.put(server.server(), new PeerFailures(server.failures(), nowMs - server.ageMs()));
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

    /** Counts the votes on one server, starting with this data plane's own vote. */
    private static final class Tally {
        private final int minFailuresPerVoter;
        private final double servedAtMs;
        private final boolean ownVote;
        private int failures;
        private int votesForEjection;
        private int voters = 1;

        Tally(int minFailuresPerVoter, double servedAtMs, boolean ownVote, int ownFailures) {
            this.minFailuresPerVoter = minFailuresPerVoter;
            this.servedAtMs = servedAtMs;
            this.ownVote = ownVote;
            this.failures = ownVote ? ownFailures : 0;
            this.votesForEjection = ownVote ? 1 : 0;
        }

        void add(PeerReport report, Integer serverHash) {
            PeerFailures peerFailures = report.suspected().get(serverHash);
            if (peerFailures == null) {
                voters += report.servedAtMs().containsKey(serverHash) ? 1 : 0;
                return;
            }
            voters++;
            if (peerFailures.failures() >= minFailuresPerVoter
                    && peerFailures.lastFailureAtMs() >= servedAtMs - EJECTION.outdatedAfterMs()) {
                failures += peerFailures.failures();
                votesForEjection++;
            }
        }

        boolean isForEjection() {
            boolean majority = 2 * votesForEjection > voters || 2 * votesForEjection == voters && ownVote;
            return failures >= EJECTION.minFailures() && majority;
        }
    }

    private final Policy policy;
    private final Map<String, PeerReport> reportsByPeer = new HashMap<>();

    /** Creates an instance with all mechanisms enabled. */
    public HealthVotes() {
        this(Policy.ALL_ENABLED);
    }

    /** Creates an instance with a policy, which may disable ejection or the pooling of failures. */
    public HealthVotes(Policy policy) {
        this.policy = policy;
    }

    /**
     * Records a peer's summary. Ignores a summary that is not newer than the last one of the peer, and summaries of new
     * peers once the maximum number of peers is reached.
     *
     * @param peer the address of the sender
     */
    public void recordSummary(double nowMs, String peer, HealthSummary summary) {
        PeerReport last = reportsByPeer.get(peer);
        boolean accepted =
                last == null ? reportsByPeer.size() < GOSSIP.maxPeers() : summary.isNewerThan(last.summary());
        if (accepted) {
            reportsByPeer.put(peer, PeerReport.of(nowMs, summary));
        }
    }

    /** Removes summaries that are no longer valid; after that any incarnation of their peers is accepted. */
    public void evictStale(double nowMs) {
        for (Iterator<PeerReport> reports = reportsByPeer.values().iterator(); reports.hasNext(); ) {
            if (!reports.next().isValid(nowMs)) {
                reports.remove();
            }
        }
    }

    /**
     * Whether a simple majority of the voters finds the server unhealthy and enough of its requests failed. In a tie
     * this data plane's own vote decides.
     *
     * @param instanceId the server's id
     * @param own this data plane's outcomes at the server
     */
    public boolean isEjected(double nowMs, String instanceId, OutcomeWindow own) {
        if (!policy.isEnabled(Mechanism.CONDEMNATION)) {
            return false;
        }
        int minFailuresPerVoter = policy.isEnabled(Mechanism.POOLED_FAILURES) ? 1 : EJECTION.minFailures();
        Integer serverHash = instanceId.hashCode();
        double servedAtMs = newestSuccessAtMs(nowMs, serverHash, own);
        // a failure does not count if a sufficiently later success was observed
        boolean ownVote = own.isUnhealthy(nowMs, minFailuresPerVoter)
                && own.lastFailureAtMs() >= servedAtMs - EJECTION.outdatedAfterMs();
        Tally tally = new Tally(minFailuresPerVoter, servedAtMs, ownVote, ownVote ? own.failureCount(nowMs) : 0);
        for (PeerReport report : reportsByPeer.values()) {
            if (report.isValid(nowMs)) {
                tally.add(report, serverHash);
            }
        }
        return tally.isForEjection();
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
