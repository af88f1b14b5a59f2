package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.DEADLINE_MS;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.health.PeerSummary;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Observations, verdicts, ejection, the half-free floor, trials, peers and the draw. */
class ServerEjectionTest {

    /** Plays requests; servers named bad give errors at once, others serve. Counts first sends by server. */
    private static Map<String, Integer> playRequests(
            BalancerFixture fixture, int requests, double intervalMs, String... bad) {
        Map<String, Integer> firstSends = new HashMap<>();
        for (int index = 0; index < requests; index++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += intervalMs;
            if (send == null) {
                continue;
            }
            firstSends.merge(send.server(), 1, Integer::sum);
            for (int attempt = 0; send != null; attempt++) {
                boolean fails = List.of(bad).contains(send.server());
                send = firstSend(fixture.endAttempt(send, attempt, fails ? Outcome.ERROR : Outcome.SERVED, 10, !fails));
            }
        }
        return firstSends;
    }

    @Test
    void threeErrorsEjectAndTrialsComeOnceASecond() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        playRequests(fixture, 1_200, 5, "s0");
        Map<String, Integer> later = playRequests(fixture, 500, 10, "s0"); // five seconds
        int trials = later.getOrDefault("s0", 0);
        assertTrue(trials >= 3 && trials <= 6, trials + " trials");
    }

    @Test
    void twoErrorsEjectNobody() {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        int errors = 0;
        while (errors < 2) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 5;
            boolean fail = send.server().equals("s0");
            errors += fail ? 1 : 0;
            Send retry = firstSend(fixture.endAttempt(send, 0, fail ? Outcome.ERROR : Outcome.SERVED, 5, !fail));
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 5, true);
            }
        }
        assertTrue(playRequests(fixture, 300, 5).getOrDefault("s0", 0) > 30);
    }

    /** Found at Sado: an eighth of all refusals were trials, refused for the very server's lateness that they try. */
    @Test
    void aTrialIsSentHoweverSlowItsServerWas() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        playRequests(fixture, 1_200, 5, "s0");
        int rejected = 0;
        int trials = 0;
        for (int index = 0; index < 600; index++) {
            List<Action> actions = fixture.arrive("read");
            rejected += actionsOf(actions, Reject.class).size();
            Send send = firstSend(actions);
            fixture.nowMs += 20;
            if (send != null && send.server().equals("s0")) {
                trials++;
                fixture.nowMs += DEADLINE_MS;
                fixture.endAttempt(send, 0, Outcome.TIMED_OUT, DEADLINE_MS, true);
            } else if (send != null) {
                fixture.endServed(send, 20);
            }
        }
        assertEquals(0, rejected);
        assertTrue(trials >= 6, trials + " sent to the late server");
    }

    @Test
    void aServerThatServesAgainReturnsToTheDraw() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        playRequests(fixture, 1_200, 5, "s0");
        playRequests(fixture, 1_200, 10); // twelve seconds of health
        assertTrue(playRequests(fixture, 400, 5).getOrDefault("s0", 0) > 60);
    }

    @Test
    void whileMoreThanHalfAreEjectedAllAreDrawn() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        playRequests(fixture, 400, 5, "s0", "s1", "s2");
        fixture.nowMs += 1_100; // doubts lapse, verdicts last
        long elsewhere = 0;
        for (int index = 0; index < 4; index++) { // none answered: the free server alone would take them all
            elsewhere += firstSend(fixture.arrive("read")).server().equals("s3") ? 0 : 1;
        }
        assertTrue(elsewhere >= 1, elsewhere + " sent to the condemned");
    }

    @Test
    void rejectionsAndCancellationsAreNeitherHealthyNorUnhealthy() {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        for (int index = 0; index < 50; index++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 700;
            Outcome outcome = send.server().equals("s0") ? Outcome.REJECTED : Outcome.SERVED;
            Send retry = firstSend(fixture.endAttempt(send, 0, outcome, 5, outcome == Outcome.SERVED));
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 5, true);
            }
        }
        fixture.nowMs += 6_500; // its rest ends before a verdict would
        assertTrue(playRequests(fixture, 200, 5).getOrDefault("s0", 0) > 20);
    }

    /** Found among resets: a server looked slower the longer ago its error was, and got nothing to mend that with. */
    @Test
    void anErrorDoesNotMakeItsServerLookSlowerWithTime() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 1);
        playRequests(fixture, 20, 5);
        Send send = firstSend(fixture.arrive("act"));
        fixture.endAttempt(send, 0, Outcome.RESET, 1, false);
        fixture.nowMs += 600;
        assertTrue(firstSend(fixture.arrive("read")) != null);
    }

    /**
     * Found where servers were few: a dozen requests turned away together each made the rest four times as long, and
     * servers with nothing to do rested for four seconds while requests were refused.
     */
    @Test
    void requestsRejectedTogetherBeginOneBackoff() {
        BalancerFixture fixture = BalancerFixture.withServers(1);
        List<Send> sends = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            sends.add(firstSend(fixture.arrive("read")));
        }
        fixture.nowMs += 5;
        sends.forEach(send -> fixture.endAttempt(send, 0, Outcome.REJECTED, 5, false));
        fixture.nowMs += 65; // past the longest first rest
        assertTrue(firstSend(fixture.arrive("read")) != null);
    }

    /** Hung servers may turn all away at once; the rest after full grows until they draw next to nothing. */
    @Test
    void aServerThatOnlyRejectsIsRarelyDrawn() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        int drawn = 0;
        for (int index = 0; index < 1_000; index++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 20;
            boolean full = send.server().equals("s0");
            drawn += full ? 1 : 0;
            Send retry = firstSend(fixture.endAttempt(send, 0, full ? Outcome.REJECTED : Outcome.SERVED, 2, !full));
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 20, true);
            }
        }
        assertTrue(drawn > 1 && drawn < 30, drawn + " of 1000");
    }

    @Test
    void aServerThatAnswersNothingIsEjectedBeforeAnyTimeOut() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        playRequests(fixture, 100, 5);
        int hung = 0;
        for (int index = 0; index < 100; index++) {
            List<Action> first = fixture.arrive("read");
            Send send = firstSend(first);
            if (send.server().equals("s0")) {
                hung++;
                fixture.fireTimers(first);
                Send retry = firstSend(fixture.endAttempt(send, 0, Outcome.CANCELLED, 100, false));
                if (retry != null) {
                    fixture.endAttempt(retry, 1, Outcome.SERVED, 10, true);
                }
            } else {
                fixture.nowMs += 10;
                fixture.endServed(send, 10);
            }
        }
        assertTrue(hung <= 6, hung + " sends to a hung server");
    }

    @Test
    void unsafeRequestsTakeNoTrials() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 4);
        playRequests(fixture, 1_200, 5, "s0");
        for (int index = 0; index < 100; index++) {
            fixture.nowMs += 100;
            if (index % 5 == 0) {
                playRequests(fixture, 10, 1, "s0");
            }
            assertNotEquals("s0", fixture.serve("act", 10));
        }
    }

    /**
     * Found at four times the rate, where one answer in twenty is spoilt: nearly all servers stood condemned for the
     * last outcome of one class, while they served the others. A class that takes no trials could not take it back.
     */
    @Test
    void aServerThatServesAnotherClassSinceIsNotEjected() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 1);
        for (int index = 0; index < 8; index++) {
            fixture.serve("act", 5);
        }
        for (int index = 0; index < 3; index++) {
            Send send = firstSend(fixture.arrive("act"));
            fixture.nowMs += 5;
            fixture.endAttempt(send, 0, Outcome.RESET, 5, false);
        }
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s1", Availability.UP));
        fixture.nowMs += 1_100;
        Map<String, Integer> firstSends = playRequests(fixture, 200, 5);
        assertTrue(firstSends.getOrDefault("s0", 0) > 40, firstSends.toString());
    }

    /** Found where connections fall silent: one that hung made its server look as slow as the hanging was long. */
    @Test
    void aRequestThatHangsAloneDoesNotMakeItsServerLate() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 1);
        playRequests(fixture, 100, 5);
        List<Action> hanging = fixture.arrive("act");
        fixture.fireTimers(hanging);
        for (int index = 0; index < 40; index++) {
            fixture.serve("read", 10);
        }
        assertTrue(actionsOf(fixture.actions, Reject.class).isEmpty());
    }

    @Test
    void fewerInFlightWins() {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        Send first = firstSend(fixture.arrive("read"));
        Send second = firstSend(fixture.arrive("read"));
        assertNotEquals(first.server(), second.server());
        assertTrue(actionsOf(fixture.actions, Reject.class).isEmpty());
    }

    @Test
    void aMajorityOfVotesDecidesWherePeersTalk() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs, "s0")));
        fixture.handle(new PeerSummaryReceived(2, summaryAgainst(fixture.nowMs, "s0")));
        assertTrue(playRequests(fixture, 100, 1).getOrDefault("s0", 0) <= 1, "two of three votes condemn");
        fixture.nowMs += 4_000;
        assertTrue(playRequests(fixture, 100, 5).getOrDefault("s0", 0) > 5, "old votes lapse");
    }

    @Test
    void aSummaryNamesTheServersFoundUnhealthy() {
        BalancerFixture fixture = withPeerSummaries();
        playRequests(fixture, 600, 5, "s0");
        PeerSummary summary = PeerSummary.decode(
                actionsOf(fixture.fireTimers(fixture.handle(new TimerFired(1))), BroadcastSummary.class).stream()
                        .findFirst()
                        .orElseGet(() -> actionsOf(fixture.actions, BroadcastSummary.class)
                                .get(0))
                        .bytes());
        assertEquals(List.of("s0".hashCode()), summary.unhealthyServers());
    }

    /** Found at Sado: each sidecar warmed a server of its own for a key, and servers remember a few keys only. */
    @Test
    void instancesAgreeOnAKeysServerWithoutMessages() {
        SettingsBuilder settings = settings().serversCacheKeys(true);
        BalancerFixture one = BalancerFixture.withServers(settings, 4);
        BalancerFixture two = BalancerFixture.withServers(settings.replica(1, 4), 4);
        int agreed = 0;
        Map<String, Integer> keysByServer = new HashMap<>();
        for (int index = 0; index < 200; index++) {
            String server = serveKey(one, "k" + index);
            keysByServer.merge(server, 1, Integer::sum);
            agreed += server.equals(serveKey(two, "k" + index)) ? 1 : 0;
        }
        assertTrue(agreed > 150, agreed + " of 200 keys");
        assertTrue(
                keysByServer.size() == 4 && keysByServer.values().stream().allMatch(count -> count > 25),
                "evenly: " + keysByServer);
    }

    private static String serveKey(BalancerFixture fixture, String key) {
        Send send = firstSend(fixture.arriveWithKey(key));
        fixture.nowMs += 50;
        fixture.endServed(send, 50);
        return send.server();
    }

    /** Found at Sado: a failing server stayed in use, since the one peer had seen nothing of it. */
    @Test
    void aQuietPeerDoesNotOutvoteOwnTraffic() {
        BalancerFixture fixture = withPeerSummaries();
        playRequests(fixture, 1_200, 5, "s0");
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs)));
        fixture.nowMs += 300;
        fixture.arrive("read");
        assertTrue(fixture.balancer.isEjected("s0"), "one of two votes, and its own");
    }

    @Test
    void aPeerThatFindsAllUnhealthyEjectsNobodyAlone() {
        BalancerFixture fixture = withPeerSummaries();
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs, "s0", "s1", "s2", "s3")));
        assertEquals(4, playRequests(fixture, 100, 1).size(), "one of two votes is no majority");
        fixture.handle(new PeerSummaryReceived(2, summaryAgainst(fixture.nowMs, "s0", "s1", "s2", "s3")));
        assertEquals(4, playRequests(fixture, 100, 1).size(), "with none left free, all are drawn");
    }

    /** Late, doubled, overtaken, of a time to come, of a peer that does not exist, torn, or of another version. */
    @Test
    void invalidDatagramsChangeNothing() {
        BalancerFixture fixture = withPeerSummaries();
        byte[] bad = summaryAgainst(fixture.nowMs, "s0");
        fixture.handle(new PeerSummaryReceived(1, summaryAgainst(fixture.nowMs + 1)));
        fixture.handle(new PeerSummaryReceived(2, summaryAgainst(fixture.nowMs + 1)));
        fixture.handle(new PeerSummaryReceived(1, bad)); // overtaken by a newer one
        fixture.handle(new PeerSummaryReceived(2, bad));
        fixture.handle(new PeerSummaryReceived(4, bad)); // there are four, from 0 on
        fixture.handle(new PeerSummaryReceived(-1, bad));
        for (double wrong :
                new double[] {fixture.nowMs - 3_001, fixture.nowMs + 3_500, Double.NaN, Double.POSITIVE_INFINITY}) {
            fixture.handle(new PeerSummaryReceived(3, summaryAgainst(wrong, "s0")));
        }
        byte[] torn = java.util.Arrays.copyOf(bad, bad.length - 1);
        byte[] other = bad.clone();
        other[0] = 2;
        for (byte[] wrong : List.of(torn, other, new byte[0], new byte[257])) {
            assertNull(PeerSummary.decode(wrong));
            fixture.handle(new PeerSummaryReceived(3, wrong));
        }
        assertTrue(playRequests(fixture, 100, 1).getOrDefault("s0", 0) > 5);
    }

    @Test
    void aSummaryHoldsAsManyServersAsFitInto256Bytes() {
        List<Integer> many = java.util.stream.IntStream.range(0, 300).boxed().toList();
        byte[] bytes = new PeerSummary(5, many).encode();
        assertEquals(253, bytes.length);
        assertEquals(many.subList(0, 61), PeerSummary.decode(bytes).unhealthyServers());
    }

    private static BalancerFixture withPeerSummaries() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().exchangesPeerSummaries(true), 4);
        playRequests(fixture, 100, 5);
        return fixture;
    }

    private static byte[] summaryAgainst(double sentAtMs, String... servers) {
        return new PeerSummary(
                        sentAtMs,
                        java.util.stream.Stream.of(servers)
                                .map(String::hashCode)
                                .toList())
                .encode();
    }
}
