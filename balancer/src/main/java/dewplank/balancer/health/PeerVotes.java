package dewplank.balancer.health;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The peers' latest summaries, each of which counts as a vote until it expires. Times are in milliseconds
 * of the clock that all machines share. Not thread-safe.
 *
 * @param <P> the identity of a peer, such as its index
 */
public final class PeerVotes<P> {
    private static final double MAX_AGE_MS = 3_000; // older summaries do not count

    private final Map<P, PeerSummary> summaries = new LinkedHashMap<>();

    /**
     * Stores a summary. One that has expired, is a duplicate, is older than the stored one, or has a
     * creation time too far in the future is ignored.
     */
    public void receive(double nowMs, P peer, PeerSummary summary) {
        if (Math.abs(nowMs - summary.createdAtMs()) <= MAX_AGE_MS) {
            summaries.merge(peer, summary, PeerVotes::newer);
        }
    }

    private static PeerSummary newer(PeerSummary last, PeerSummary received) {
        return last.createdAtMs() < received.createdAtMs() ? received : last;
    }

    /** Removes a peer's vote; the peer has no vote until its next summary. */
    public void remove(P peer) {
        summaries.remove(peer);
    }

    /**
     * Whether a simple majority of votes finds the server unhealthy. In a tie, the vote of this process
     * decides: a peer that sent no requests to the server must not outvote the only other one.
     *
     * @param ownVote whether this process finds the server unhealthy
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
