package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.health.PeerSummary;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Summaries that peers exchange: what a received one changes, and what a sent one holds. */
class PeerExchangeTest {

    private static BalancerFixture withPeerSummaries() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().exchangesPeerSummaries(true), 4);
        fixture.playReads(100, 5);
        return fixture;
    }

    private static byte[] summaryAgainst(double sentAtMs, String... servers) {
        return new PeerSummary(
                        sentAtMs, Stream.of(servers).map(String::hashCode).toList())
                .encode();
    }

    @Test
    void aMajorityOfVotesDecidesWherePeersExchangeSummaries() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs, "s0")));
        fixture.handle(new PeerSummaryReceived(2, summaryAgainst(fixture.nowMs, "s0")));
        assertTrue(fixture.playReads(100, 1).getOrDefault("s0", 0) <= 1, "two of three votes eject");
        fixture.nowMs += 4_000;
        assertTrue(fixture.playReads(100, 5).getOrDefault("s0", 0) > 5, "old votes expire");
    }

    /** Regression: a failing server stayed in use, since the only peer had not sent it requests. */
    @Test
    void aQuietPeerDoesNotOutvoteOwnTraffic() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.playReads(1_200, 5, "s0");
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs)));
        fixture.nowMs += 300;
        fixture.arrive("read");
        assertTrue(fixture.balancer.isEjected("s0"), "one of two votes, and it is the own one");
    }

    @Test
    void aPeerThatFindsAllUnhealthyEjectsNobodyAlone() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs, "s0", "s1", "s2", "s3")));
        assertEquals(4, fixture.playReads(100, 1).size(), "one of two votes is no majority");
        fixture.handle(new PeerSummaryReceived(2, summaryAgainst(fixture.nowMs, "s0", "s1", "s2", "s3")));
        assertEquals(4, fixture.playReads(100, 1).size(), "where all are ejected, all are picked");
    }

    /** Late, repeated, reordered, of a future time, of an unknown peer, truncated, or of another version. */
    @Test
    void invalidDatagramsChangeNothing() {
        BalancerFixture fixture = withPeerSummaries();
        byte[] valid = summaryAgainst(fixture.nowMs, "s0");
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs + 1)));
        fixture.handle(new PeerSummaryReceived(2, summaryAgainst(fixture.nowMs + 1)));
        fixture.handle(new PeerSummaryReceived(1, valid)); // a newer one came first
        fixture.handle(new PeerSummaryReceived(2, valid));
        fixture.handle(new PeerSummaryReceived(4, valid)); // peers are numbered 0 to 3
        fixture.handle(new PeerSummaryReceived(-1, valid));
        for (double invalidMs :
                new double[] {fixture.nowMs - 3_001, fixture.nowMs + 3_500, Double.NaN, Double.POSITIVE_INFINITY}) {
            fixture.handle(new PeerSummaryReceived(3, summaryAgainst(invalidMs, "s0")));
        }
        byte[] truncated = Arrays.copyOf(valid, valid.length - 1);
        byte[] otherVersion = valid.clone();
        otherVersion[0] = 2;
        for (byte[] invalid : List.of(truncated, otherVersion, new byte[0], new byte[257])) {
            assertNull(PeerSummary.decode(invalid));
            fixture.handle(new PeerSummaryReceived(3, invalid));
        }
        assertTrue(fixture.playReads(100, 1).getOrDefault("s0", 0) > 5);
    }

    @Test
    void aSummaryNamesTheServersFoundUnhealthy() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.playReads(600, 5, "s0");
        PeerSummary summary = PeerSummary.decode(
                actionsOf(fixture.fireTimers(fixture.handle(new TimerFired(1))), BroadcastSummary.class).stream()
                        .findFirst()
                        .orElseGet(() -> actionsOf(fixture.actions, BroadcastSummary.class)
                                .get(0))
                        .bytes());
        assertEquals(List.of("s0".hashCode()), summary.unhealthyServers());
    }

    @Test
    void aSummaryHoldsAsManyServersAsFitInto256Bytes() {
        List<Integer> many = IntStream.range(0, 300).boxed().toList();
        byte[] bytes = new PeerSummary(5, many).encode();
        assertEquals(253, bytes.length);
        assertEquals(many.subList(0, 61), PeerSummary.decode(bytes).unhealthyServers());
    }
}
