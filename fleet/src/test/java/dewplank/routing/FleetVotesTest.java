package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Peers' summaries that are late, doubled, of an earlier life, or of another machine at the same address. */
class FleetVotesTest {
    private static final String SERVER = "i-1";
    private static final String PEER = "10.0.0.1";
    private static final List<Integer> IT = List.of(SERVER.hashCode());
    private static final long EARLIER = 1_000;
    private static final long LATER = 2_000;
    private static final double FRESH_MS = 3_000;

    private final FleetVotes votes = new FleetVotes();

    private static HealthSummary unhealthy(long life, int sequence) {
        return new HealthSummary(life, sequence, IT, List.of());
    }

    private static HealthSummary healthy(long life, int sequence) {
        return new HealthSummary(life, sequence, List.of(), IT);
    }

    private boolean condemned(double now) {
        return votes.condemned(now, SERVER, true);
    }

    @Test
    void aSummaryOfAnEarlierLifeThatComesLastChangesNothing() {
        votes.hear(0, PEER, healthy(LATER, 1));
        votes.hear(1, "10.0.0.2", healthy(LATER, 1));
        votes.hear(2, PEER, unhealthy(EARLIER, 900));
        assertFalse(condemned(3));
    }

    @Test
    void aNewLifeIsHeardFromItsFirstSummary() {
        votes.hear(0, PEER, healthy(EARLIER, 900));
        votes.hear(0, "10.0.0.2", healthy(EARLIER, 900));
        votes.hear(1, PEER, unhealthy(LATER, 1));
        votes.hear(1, "10.0.0.2", unhealthy(LATER, 1));
        assertTrue(condemned(2));
    }

    @Test
    void oneThatComesTwiceOrAfterItsSuccessorChangesNothing() {
        votes.hear(0, PEER, healthy(LATER, 2));
        votes.hear(1, PEER, unhealthy(LATER, 1));
        votes.hear(2, PEER, healthy(LATER, 2));
        assertFalse(votes.condemned(3, SERVER, false));
        assertFalse(votes.condemned(FRESH_MS + 1, SERVER, false), "heard at 0, not again at 2");
    }

    /** Another machine at the address, its clock behind: it is heard once what the last one said is stale. */
    @Test
    void anotherMachineAtTheAddressIsHeardOnceTheLastOnesWordIsStale() {
        votes.hear(0, PEER, healthy(LATER, 5));
        votes.hear(0, "10.0.0.2", healthy(LATER, 5));
        votes.hear(FRESH_MS, PEER, unhealthy(EARLIER, 1));
        assertFalse(condemned(FRESH_MS));
        votes.forgetStale(FRESH_MS + 1);
        votes.hear(FRESH_MS + 2, PEER, unhealthy(EARLIER, 2));
        assertTrue(condemned(FRESH_MS + 3));
    }

    @Test
    void whatNobodyConfirmsIsForgotten() {
        votes.hear(0, PEER, unhealthy(LATER, 1));
        assertTrue(condemned(FRESH_MS));
        assertFalse(votes.condemned(FRESH_MS + 1, SERVER, false));
    }
}
