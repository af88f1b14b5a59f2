package dewplank.balancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Peers' summaries as votes. */
class PeerVotesTest {
    private static final double NOW = 50_000;

    private final PeerVotes<String> votes = new PeerVotes<>();

    private void hear(String peer, double toldAt, String... unhealthy) {
        votes.hear(NOW, peer, new Summary(toldAt, List.of(unhealthy).stream().map(String::hashCode).toList()));
    }

    @Test
    void aloneTheOwnVoteDecides() {
        assertTrue(votes.condemned(NOW, "s", true));
        assertFalse(votes.condemned(NOW, "s", false));
    }

    @Test
    void aSimpleMajorityDecides() {
        hear("a", NOW, "s");
        hear("b", NOW, "s", "t");
        assertTrue(votes.condemned(NOW, "s", false), "two of three");
        assertFalse(votes.condemned(NOW, "t", false), "one of three");
        assertFalse(votes.condemned(NOW, "u", true), "one of three, its own");
    }

    @Test
    void aTieGoesByTheOwnVote() {
        hear("a", NOW, "s");
        assertFalse(votes.condemned(NOW, "s", false));
        assertTrue(votes.condemned(NOW, "t", true));
    }

    @Test
    void aVoteCountsForThreeSeconds() {
        hear("a", NOW, "s");
        hear("b", NOW, "s");
        assertTrue(votes.condemned(NOW + 3_000, "s", false));
        assertFalse(votes.condemned(NOW + 3_001, "s", false));
        assertTrue(votes.condemned(NOW + 3_001, "t", true), "those that lapsed do not vote for it either");
    }

    @Test
    void summariesFromFarOffTimesAreIgnored() {
        for (double wrong : new double[] {NOW - 3_001, NOW + 3_001}) {
            hear("a", wrong, "s");
            hear("b", wrong, "s");
            assertFalse(votes.condemned(NOW, "s", false));
        }
    }

    @Test
    void anOlderSummaryOrTheSameAgainChangesNothing() {
        hear("a", NOW, "s");
        hear("b", NOW, "s");
        hear("a", NOW - 1);
        hear("b", NOW);
        assertTrue(votes.condemned(NOW, "s", false));
        hear("a", NOW + 1);
        assertFalse(votes.condemned(NOW, "s", false), "a newer one does");
    }

    @Test
    void aPeerThatLeftHasNoVote() {
        hear("a", NOW, "s");
        hear("b", NOW, "s");
        votes.forget("a");
        assertFalse(votes.condemned(NOW, "s", false));
        hear("a", NOW - 1, "s");
        assertTrue(votes.condemned(NOW, "s", false), "it may come again");
    }
}
