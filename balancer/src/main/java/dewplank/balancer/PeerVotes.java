package dewplank.balancer;

import java.util.LinkedHashMap;
import java.util.Map;

/** The peers' latest summaries, each counted as a vote while it is fresh. Times in milliseconds. */
public final class PeerVotes<P> {
    private static final double FRESH_MS = 3_000;   // a peer's summary counts so long

    private final Map<P, Summary> summaries = new LinkedHashMap<>();

    /** One that comes late, twice, after a newer one, or from a time still to come changes nothing. */
    public void hear(double now, P peer, Summary summary) {
        if (Math.abs(now - summary.toldAt()) <= FRESH_MS) {
            summaries.merge(peer, summary, (last, said) -> last.toldAt() < said.toldAt() ? said : last);
        }
    }

    /** The peer has left. */
    public void forget(P peer) {
        summaries.remove(peer);
    }

    /**
     * Whether a simple majority of votes finds the server unhealthy. A tie goes by own traffic: a quiet peer
     * that has seen nothing must not outvote the only other.
     */
    public boolean condemned(double now, String server, boolean ownVote) {
        int votes = ownVote ? 1 : 0;
        int voters = 1;
        for (Summary s : summaries.values()) {
            if (now - s.toldAt() <= FRESH_MS) {
                voters++;
                votes += s.unhealthy().contains(server.hashCode()) ? 1 : 0;
            }
        }
        return 2 * votes > voters || 2 * votes == voters && ownVote;
    }
}
