package dewplank.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The votes of peers on the health of servers. Unlike in the sidecar's own design only peers vote that have sent to the
 * server lately: at many sidecars few of them see a failing server, and silence of the rest must not acquit it.
 */
public final class FleetVotes {
    private static final double FRESH_MS = 3_000; // a peer's summary counts so long, by this sidecar's clock
    /** Peers remembered: beyond, newcomers are not heard. */
    private static final int MOST_PEERS = 1_024;

    private record Heard(double at, HealthSummary summary) {}

    private final Map<String, Heard> peers = new HashMap<>();

    /** One that comes late, twice or after a newer one changes nothing. */
    public void hear(double now, String peer, HealthSummary summary) {
        Heard last = peers.get(peer);
        boolean room = last != null || peers.size() < MOST_PEERS;
        if (room && summary.newerThan(last == null ? null : last.summary())) {
            peers.put(peer, new Heard(now, summary));
        }
    }

    /** Lets go of what is stale. */
    public void forgetStale(double now) {
        for (Iterator<Heard> i = peers.values().iterator(); i.hasNext(); ) {
            if (now - i.next().at() > FRESH_MS) {
                i.remove();
            }
        }
    }

    /** Whether a simple majority of those that vote finds the server unhealthy. A tie goes by own traffic. */
    public boolean condemned(double now, String server, boolean ownVote) {
        Integer hash = server.hashCode();
        int votes = ownVote ? 1 : 0;
        int voters = 1;
        for (Heard heard : peers.values()) {
            if (now - heard.at() > FRESH_MS) {
                continue;
            }
            if (heard.summary().unhealthy().contains(hash)) {
                votes++;
                voters++;
            } else if (heard.summary().healthy().contains(hash)) {
                voters++;
            }
        }
        return 2 * votes > voters || 2 * votes == voters && ownVote;
    }
}
