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

/** Exchange of peer summaries: the effect of received summaries, and the content of sent ones. */
class PeerExchangeTest {

    private static BalancerFixture withPeerSummaries() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().exchangesPeerSummaries(true), 4);
        fixture.runReads(100, 5);
        return fixture;
    }

    private static byte[] encodedSummary(double sentAtMs, String... servers) {
        return new PeerSummary(
                        sentAtMs, Stream.of(servers).map(String::hashCode).toList())
                .encode();
    }

    @Test
    void aMajorityOfVotesDecidesIfPeersExchangeSummaries() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.handle(new PeerSummaryReceived(1, encodedSummary(fixture.nowMs, "s0")));
        fixture.handle(new PeerSummaryReceived(2, encodedSummary(fixture.nowMs, "s0")));
        assertTrue(fixture.runReads(100, 1).getOrDefault("s0", 0) <= 1, "two of three votes eject");
        fixture.nowMs += 4_000;
        assertTrue(fixture.runReads(100, 5).getOrDefault("s0", 0) > 5, "old votes expire");
    }

    /** Regression: a failing server stayed in use, because the only peer had sent it no requests. */
    @Test
    void aPeerWithoutTrafficDoesNotOutvoteThisInstance() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.runReads(1_200, 5, "s0");
        fixture.handle(new PeerSummaryReceived(1, encodedSummary(fixture.nowMs)));
        fixture.nowMs += 300;
        fixture.arrive("read");
        assertTrue(fixture.balancer.isEjected("s0"), "one of two votes, the own vote");
    }

    @Test
    void aSinglePeerThatFindsAllServersUnhealthyEjectsNone() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.handle(new PeerSummaryReceived(1, encodedSummary(fixture.nowMs, "s0", "s1", "s2", "s3")));
        assertEquals(4, fixture.runReads(100, 1).size(), "one of two votes is no majority");
        fixture.handle(new PeerSummaryReceived(2, encodedSummary(fixture.nowMs, "s0", "s1", "s2", "s3")));
        assertEquals(4, fixture.runReads(100, 1).size(), "if all are ejected, all are picked");
    }

    /** Delayed, duplicated, reordered, from the future, from an unknown peer, truncated, or of another version. */
    @Test
    void invalidDatagramsAreIgnored() {
        BalancerFixture fixture = withPeerSummaries();
        byte[] valid = encodedSummary(fixture.nowMs, "s0");
        fixture.handle(new PeerSummaryReceived(1, encodedSummary(fixture.nowMs + 1)));
        fixture.handle(new PeerSummaryReceived(2, encodedSummary(fixture.nowMs + 1)));
        fixture.handle(new PeerSummaryReceived(1, valid)); // a newer summary was received before
        fixture.handle(new PeerSummaryReceived(2, valid));
        fixture.handle(new PeerSummaryReceived(4, valid)); // peers are numbered 0 to 3
        fixture.handle(new PeerSummaryReceived(-1, valid));
        for (double invalidMs :
                new double[] {fixture.nowMs - 3_001, fixture.nowMs + 3_500, Double.NaN, Double.POSITIVE_INFINITY}) {
            fixture.handle(new PeerSummaryReceived(3, encodedSummary(invalidMs, "s0")));
        }
        byte[] truncated = Arrays.copyOf(valid, valid.length - 1);
        byte[] otherVersion = valid.clone();
        otherVersion[0] = 2;
        for (byte[] invalid : List.of(truncated, otherVersion, new byte[0], new byte[257])) {
            assertNull(PeerSummary.decode(invalid));
            fixture.handle(new PeerSummaryReceived(3, invalid));
        }
        assertTrue(fixture.runReads(100, 1).getOrDefault("s0", 0) > 5);
    }

    @Test
    void aSummaryContainsTheServersFoundUnhealthy() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.runReads(600, 5, "s0");
        PeerSummary summary = PeerSummary.decode(
                actionsOf(fixture.fireTimers(fixture.handle(new TimerFired(1))), BroadcastSummary.class).stream()
                        .findFirst()
                        .orElseGet(() -> actionsOf(fixture.actions, BroadcastSummary.class)
                                .get(0))
                        .bytes());
        assertEquals(List.of("s0".hashCode()), summary.unhealthyServers());
    }

    @Test
    void aSummaryContainsAsManyServersAsFitInto256Bytes() {
        List<Integer> many = IntStream.range(0, 300).boxed().toList();
        byte[] bytes = new PeerSummary(5, many).encode();
        assertEquals(253, bytes.length);
        assertEquals(many.subList(0, 61), PeerSummary.decode(bytes).unhealthyServers());
    }
}
