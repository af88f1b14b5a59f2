package dewplank.balancer.health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The vote on a server's health: majority, ties, and the age and order of summaries. */
class PeerVotesTest {
    private static final double NOW_MS = 50_000;

    private final PeerVotes<String> votes = new PeerVotes<>();

    private void receive(String peer, double sentAtMs, String... unhealthy) {
        votes.receive(
                NOW_MS,
                peer,
                new PeerSummary(
                        sentAtMs,
                        List.of(unhealthy).stream().map(String::hashCode).toList()));
    }

    @Test
    void withoutPeersTheVoteOfThisProcessDecides() {
        assertTrue(votes.isUnhealthy(NOW_MS, "s", true));
        assertFalse(votes.isUnhealthy(NOW_MS, "s", false));
    }

    @Test
    void aSimpleMajorityDecides() {
        receive("a", NOW_MS, "s");
        receive("b", NOW_MS, "s", "t");
        assertTrue(votes.isUnhealthy(NOW_MS, "s", false), "two of three");
        assertFalse(votes.isUnhealthy(NOW_MS, "t", false), "one of three");
        assertFalse(votes.isUnhealthy(NOW_MS, "u", true), "one of three, the own vote");
    }

    @Test
    void theVoteOfThisProcessDecidesATie() {
        receive("a", NOW_MS, "s");
        assertFalse(votes.isUnhealthy(NOW_MS, "s", false));
        assertTrue(votes.isUnhealthy(NOW_MS, "t", true));
    }

    @Test
    void aVoteExpiresAfterThreeSeconds() {
        receive("a", NOW_MS, "s");
        receive("b", NOW_MS, "s");
        assertTrue(votes.isUnhealthy(NOW_MS + 3_000, "s", false));
        assertFalse(votes.isUnhealthy(NOW_MS + 3_001, "s", false));
        assertTrue(votes.isUnhealthy(NOW_MS + 3_001, "t", true), "an expired vote does not count as healthy either");
    }

    @ParameterizedTest
    @ValueSource(doubles = {NOW_MS - 3_001, NOW_MS + 3_001})
    void aSummaryWithADistantCreationTimeIsIgnored(double sentAtMs) {
        receive("a", sentAtMs, "s");
        receive("b", sentAtMs, "s");
        assertFalse(votes.isUnhealthy(NOW_MS, "s", false));
    }

    @Test
    void anOlderOrDuplicateSummaryIsIgnored() {
        receive("a", NOW_MS, "s");
        receive("b", NOW_MS, "s");
        receive("a", NOW_MS - 1);
        receive("b", NOW_MS);
        assertTrue(votes.isUnhealthy(NOW_MS, "s", false));
        receive("a", NOW_MS + 1);
        assertFalse(votes.isUnhealthy(NOW_MS, "s", false), "a newer summary counts");
    }

    @Test
    void aRemovedPeerHasNoVote() {
        receive("a", NOW_MS, "s");
        receive("b", NOW_MS, "s");
        votes.remove("a");
        assertFalse(votes.isUnhealthy(NOW_MS, "s", false));
        receive("a", NOW_MS - 1, "s");
        assertTrue(votes.isUnhealthy(NOW_MS, "s", false), "the peer may rejoin");
    }
}
