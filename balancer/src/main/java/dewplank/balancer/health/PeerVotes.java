package dewplank.balancer.health;

import java.util.LinkedHashMap;
import java.util.Map;

/** The peers' latest summaries, each counted as a vote while it is fresh. Times in milliseconds. */
public final class PeerVotes<P> {
    private static final double FRESH_MS = 3_000; // a peer's summary counts so long

    private final Map<P, PeerSummary> summaries = new LinkedHashMap<>();

    /** One that comes late, twice, after a newer one, or from a time still to come changes nothing. */
    public void receive(double now, P peer, PeerSummary summary) {
        if (Math.abs(now - summary.createdAtMs()) <= FRESH_MS) {
            summaries.merge(peer, summary, PeerVotes::newer);
        }
    }

    private static PeerSummary newer(PeerSummary last, PeerSummary received) {
        return last.createdAtMs() < received.createdAtMs() ? received : last;
    }

    /** The peer has left. */
    public void remove(P peer) {
        summaries.remove(peer);
    }

    /**
     * Whether a simple majority of votes finds the server unhealthy. A tie goes by own traffic: a quiet peer
     * that has seen nothing must not outvote the only other.
     */
    public boolean isUnhealthy(double now, String server, boolean ownVote) {
        int votes = ownVote ? 1 : 0;
        int voters = 1;
        for (PeerSummary s : summaries.values()) {
            if (now - s.createdAtMs() <= FRESH_MS) {
                voters++;
                votes += s.unhealthyServers().contains(server.hashCode()) ? 1 : 0;
            }
        }
        return 2 * votes > voters || 2 * votes == voters && ownVote;
    }
}
