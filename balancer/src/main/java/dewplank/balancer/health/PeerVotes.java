package dewplank.balancer.health;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The peers' latest summaries, each counted as a vote while it is fresh. Times are in milliseconds of the
 * clock that all machines read. Not thread-safe.
 *
 * @param <P> the identity of a peer, such as its number
 */
public final class PeerVotes<P> {
    private static final double MAX_AGE_MS = 3_000; // a summary counts so long

    private final Map<P, PeerSummary> summaries = new LinkedHashMap<>();

    /**
     * Takes a summary; one that is overdue, repeated, overtaken by a newer one, or from the future changes
     * nothing.
     */
    public void receive(double nowMs, P peer, PeerSummary summary) {
        if (Math.abs(nowMs - summary.createdAtMs()) <= MAX_AGE_MS) {
            summaries.merge(peer, summary, PeerVotes::newer);
        }
    }

    private static PeerSummary newer(PeerSummary last, PeerSummary received) {
        return last.createdAtMs() < received.createdAtMs() ? received : last;
    }

    /** The peer has left; it has no vote until its next summary. */
    public void remove(P peer) {
        summaries.remove(peer);
    }

    /**
     * Whether a simple majority of votes finds the server unhealthy. A tie goes by own traffic: a quiet
     * peer that has seen nothing must not outvote the only other.
     *
     * @param ownVote whether this process finds it unhealthy
     */
    public boolean isUnhealthy(double nowMs, String server, boolean ownVote) {
        int votes = ownVote ? 1 : 0;
        int voters = 1;
        for (PeerSummary summary : summaries.values()) {
            if (nowMs - summary.createdAtMs() <= MAX_AGE_MS) {
                voters++;
                votes += summary.unhealthyServers().contains(server.hashCode()) ? 1 : 0;
            }
        }
        return 2 * votes > voters || 2 * votes == voters && ownVote;
    }
}
