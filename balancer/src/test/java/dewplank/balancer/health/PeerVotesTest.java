package dewplank.balancer.health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Peers' summaries as votes. */
class PeerVotesTest {
    private static final double NOW = 50_000;

    private final PeerVotes<String> votes = new PeerVotes<>();

    private void hear(String peer, double toldAt, String... unhealthy) {
        votes.receive(
                NOW,
                peer,
                new PeerSummary(
                        toldAt,
                        List.of(unhealthy).stream().map(String::hashCode).toList()));
    }

    @Test
    void aloneTheOwnVoteDecides() {
        assertTrue(votes.isUnhealthy(NOW, "s", true));
        assertFalse(votes.isUnhealthy(NOW, "s", false));
    }

    @Test
    void aSimpleMajorityDecides() {
        hear("a", NOW, "s");
        hear("b", NOW, "s", "t");
        assertTrue(votes.isUnhealthy(NOW, "s", false), "two of three");
        assertFalse(votes.isUnhealthy(NOW, "t", false), "one of three");
        assertFalse(votes.isUnhealthy(NOW, "u", true), "one of three, its own");
    }

    @Test
    void aTieGoesByTheOwnVote() {
        hear("a", NOW, "s");
        assertFalse(votes.isUnhealthy(NOW, "s", false));
        assertTrue(votes.isUnhealthy(NOW, "t", true));
    }

    @Test
    void aVoteCountsForThreeSeconds() {
        hear("a", NOW, "s");
        hear("b", NOW, "s");
        assertTrue(votes.isUnhealthy(NOW + 3_000, "s", false));
        assertFalse(votes.isUnhealthy(NOW + 3_001, "s", false));
        assertTrue(votes.isUnhealthy(NOW + 3_001, "t", true), "those that lapsed do not vote for it either");
    }

    @Test
    void summariesFromFarOffTimesAreIgnored() {
        for (double wrong : new double[] {NOW - 3_001, NOW + 3_001}) {
            hear("a", wrong, "s");
            hear("b", wrong, "s");
            assertFalse(votes.isUnhealthy(NOW, "s", false));
        }
    }

    @Test
    void anOlderSummaryOrTheSameAgainChangesNothing() {
        hear("a", NOW, "s");
        hear("b", NOW, "s");
        hear("a", NOW - 1);
        hear("b", NOW);
        assertTrue(votes.isUnhealthy(NOW, "s", false));
        hear("a", NOW + 1);
        assertFalse(votes.isUnhealthy(NOW, "s", false), "a newer one does");
    }

    @Test
    void aPeerThatLeftHasNoVote() {
        hear("a", NOW, "s");
        hear("b", NOW, "s");
        votes.remove("a");
        assertFalse(votes.isUnhealthy(NOW, "s", false));
        hear("a", NOW - 1, "s");
        assertTrue(votes.isUnhealthy(NOW, "s", false), "it may come again");
    }
}
