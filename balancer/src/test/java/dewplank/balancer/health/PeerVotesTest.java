package dewplank.balancer.health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Peers' summaries as votes. */
class PeerVotesTest {
    private static final double NOW = 50_000;

    private final PeerVotes<String> votes = new PeerVotes<>();

    private void receive(String peer, double sentAtMs, String... unhealthy) {
        votes.receive(
                NOW,
                peer,
                new PeerSummary(
                        sentAtMs,
                        List.of(unhealthy).stream().map(String::hashCode).toList()));
    }

    @Test
    void aloneTheOwnVoteDecides() {
        assertTrue(votes.isUnhealthy(NOW, "s", true));
        assertFalse(votes.isUnhealthy(NOW, "s", false));
    }

    @Test
    void aSimpleMajorityDecides() {
        receive("a", NOW, "s");
        receive("b", NOW, "s", "t");
        assertTrue(votes.isUnhealthy(NOW, "s", false), "two of three");
        assertFalse(votes.isUnhealthy(NOW, "t", false), "one of three");
        assertFalse(votes.isUnhealthy(NOW, "u", true), "one of three, its own");
    }

    @Test
    void aTieGoesByTheOwnVote() {
        receive("a", NOW, "s");
        assertFalse(votes.isUnhealthy(NOW, "s", false));
        assertTrue(votes.isUnhealthy(NOW, "t", true));
    }

    @Test
    void aVoteCountsForThreeSeconds() {
        receive("a", NOW, "s");
        receive("b", NOW, "s");
        assertTrue(votes.isUnhealthy(NOW + 3_000, "s", false));
        assertFalse(votes.isUnhealthy(NOW + 3_001, "s", false));
        assertTrue(votes.isUnhealthy(NOW + 3_001, "t", true), "those that lapsed do not vote for it either");
    }

    @Test
    void summariesFromFarOffTimesAreIgnored() {
        for (double sentAtMs : new double[] {NOW - 3_001, NOW + 3_001}) {
            receive("a", sentAtMs, "s");
            receive("b", sentAtMs, "s");
            assertFalse(votes.isUnhealthy(NOW, "s", false));
        }
    }

    @Test
    void anOlderSummaryOrTheSameAgainChangesNothing() {
        receive("a", NOW, "s");
        receive("b", NOW, "s");
        receive("a", NOW - 1);
        receive("b", NOW);
        assertTrue(votes.isUnhealthy(NOW, "s", false));
        receive("a", NOW + 1);
        assertFalse(votes.isUnhealthy(NOW, "s", false), "a newer one does");
    }

    @Test
    void aPeerThatLeftHasNoVote() {
        receive("a", NOW, "s");
        receive("b", NOW, "s");
        votes.remove("a");
        assertFalse(votes.isUnhealthy(NOW, "s", false));
        receive("a", NOW - 1, "s");
        assertTrue(votes.isUnhealthy(NOW, "s", false), "it may come again");
    }
}
