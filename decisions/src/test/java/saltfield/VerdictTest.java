package saltfield;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltfield.Host.of;
import static saltfield.Host.sent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import saltfield.Balancer.*;

/** Observations, verdicts, ejection, the half-free floor, trials, peers and the draw. */
class VerdictTest {

    /** Plays requests; servers named bad give errors at once, others serve. Counts first sends by server. */
    private static Map<String, Integer> play(Host h, int requests, double every, String... bad) {
        Map<String, Integer> firsts = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            Send s = sent(h.arrive("read"));
            h.now += every;
            if (s == null) {
                continue;
            }
            firsts.merge(s.server(), 1, Integer::sum);
            for (int n = 0; s != null; n++) {
                boolean fails = List.of(bad).contains(s.server());
                s = sent(h.end(s, n, fails ? Outcome.ERROR : Outcome.SERVED, 10, !fails));
            }
        }
        return firsts;
    }

    @Test
    void threeErrorsCondemnAndTrialsComeOnceASecond() {
        Host h = Host.with(new Host.Setup(), 4);
        play(h, 1_200, 5, "s0");
        Map<String, Integer> later = play(h, 500, 10, "s0");   // five seconds
        int trials = later.getOrDefault("s0", 0);
        assertTrue(trials >= 3 && trials <= 6, trials + " trials");
    }

    @Test
    void twoErrorsCondemnNobody() {
        Host h = Host.with(new Host.Setup(), 2);
        int errors = 0;
        for (int i = 0; errors < 2; i++) {
            Send s = sent(h.arrive("read"));
            h.now += 5;
            boolean fail = s.server().equals("s0");
            errors += fail ? 1 : 0;
            Send again = sent(h.end(s, 0, fail ? Outcome.ERROR : Outcome.SERVED, 5, !fail));
            if (again != null) {
                h.end(again, 1, Outcome.SERVED, 5, true);
            }
        }
        assertTrue(play(h, 300, 5).getOrDefault("s0", 0) > 30);
    }

    @Test
    void aServerThatServesAgainReturnsToTheDraw() {
        Host h = Host.with(new Host.Setup(), 4);
        play(h, 1_200, 5, "s0");
        play(h, 1_200, 10);   // twelve seconds of health
        assertTrue(play(h, 400, 5).getOrDefault("s0", 0) > 60);
    }

    @Test
    void whenUnderHalfAreFreeAllAreDrawn() {
        Host h = Host.with(new Host.Setup(), 4);
        play(h, 400, 5, "s0", "s1", "s2");
        h.now += 1_100;   // doubts lapse, verdicts last
        long elsewhere = 0;
        for (int i = 0; i < 4; i++) {   // none answered: the free server alone would take them all
            elsewhere += sent(h.arrive("read")).server().equals("s3") ? 0 : 1;
        }
        assertTrue(elsewhere >= 1, elsewhere + " sent to the condemned");
    }

    @Test
    void fullAndCancelledAreNeitherHealthyNorUnhealthy() {
        Host h = Host.with(new Host.Setup(), 2);
        for (int i = 0; i < 50; i++) {
            Send s = sent(h.arrive("read"));
            h.now += 700;
            Outcome o = s.server().equals("s0") ? Outcome.FULL : Outcome.SERVED;
            Send again = sent(h.end(s, 0, o, 5, o == Outcome.SERVED));
            if (again != null) {
                h.end(again, 1, Outcome.SERVED, 5, true);
            }
        }
        h.now += 6_500;   // its rest ends before a verdict would
        assertTrue(play(h, 200, 5).getOrDefault("s0", 0) > 20);
    }

    /** Found among resets: a server looked slower the longer ago its error was, and got nothing to mend that with. */
    @Test
    void anErrorDoesNotMakeItsServerLookSlowerWithTime() {
        Host.Setup setup = new Host.Setup();
        setup.effect = Effect.UNSAFE;
        Host h = Host.with(setup, 1);
        play(h, 20, 5);
        Send s = sent(h.arrive("act"));
        h.end(s, 0, Outcome.RESET, 1, false);
        h.now += 600;
        assertTrue(sent(h.arrive("read")) != null);
    }

    /**
     * Found where servers were few: a dozen requests turned away together each made the rest four times as long, and
     * servers with nothing to do rested for four seconds while requests were refused.
     */
    @Test
    void thoseTurnedAwayTogetherMakeOneRest() {
        Host h = Host.with(new Host.Setup(), 1);
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            out.add(sent(h.arrive("read")));
        }
        h.now += 5;
        out.forEach(s -> h.end(s, 0, Outcome.FULL, 5, false));
        h.now += 65;   // past the longest first rest
        assertTrue(sent(h.arrive("read")) != null);
    }

    /** Hung servers may turn all away at once; the rest after full grows until they draw next to nothing. */
    @Test
    void aServerThatOnlyTurnsAwayDrawsLittle() {
        Host h = Host.with(new Host.Setup(), 4);
        int drawn = 0;
        for (int i = 0; i < 1_000; i++) {
            Send s = sent(h.arrive("read"));
            h.now += 20;
            boolean full = s.server().equals("s0");
            drawn += full ? 1 : 0;
            Send again = sent(h.end(s, 0, full ? Outcome.FULL : Outcome.SERVED, 2, !full));
            if (again != null) {
                h.end(again, 1, Outcome.SERVED, 20, true);
            }
        }
        assertTrue(drawn > 1 && drawn < 30, drawn + " of 1000");
    }

    @Test
    void aServerThatAnswersNothingIsCondemnedBeforeAnyTimeOut() {
        Host h = Host.with(new Host.Setup(), 4);
        play(h, 100, 5);
        int hung = 0;
        for (int i = 0; i < 100; i++) {
            List<Action> first = h.arrive("read");
            Send s = sent(first);
            if (s.server().equals("s0")) {
                hung++;
                h.fire(first);
                Send again = sent(h.end(s, 0, Outcome.CANCELLED, 100, false));
                if (again != null) {
                    h.end(again, 1, Outcome.SERVED, 10, true);
                }
            } else {
                h.now += 10;
                h.end(s, 0, Outcome.SERVED, 10, true);
            }
        }
        assertTrue(hung <= 6, hung + " sends to a hung server");
    }

    @Test
    void unsafeRequestsTakeNoTrials() {
        Host.Setup setup = new Host.Setup();
        setup.effect = Effect.UNSAFE;
        Host h = Host.with(setup, 4);
        play(h, 1_200, 5, "s0");
        for (int i = 0; i < 100; i++) {
            h.now += 100;
            if (i % 5 == 0) {
                play(h, 10, 1, "s0");
            }
            assertNotEquals("s0", h.serve("act", 10));
        }
    }

    /**
     * Found at four times the rate, where one answer in twenty is spoilt: nearly all servers stood condemned for the
     * last outcome of one class, while they served the others. A class that takes no trials could not take it back.
     */
    @Test
    void aServerThatServesAnotherClassSinceIsNotCondemned() {
        Host.Setup setup = new Host.Setup();
        setup.effect = Effect.UNSAFE;
        Host h = Host.with(setup, 1);
        for (int i = 0; i < 8; i++) {
            h.serve("act", 5);
        }
        for (int i = 0; i < 3; i++) {
            Send s = sent(h.arrive("act"));
            h.now += 5;
            h.end(s, 0, Outcome.RESET, 5, false);
        }
        h.list(ListForm.CHANGES, Host.entry("s1", "z1", 0, Availability.UP, null));
        h.now += 1_100;
        Map<String, Integer> firsts = play(h, 200, 5);
        assertTrue(firsts.getOrDefault("s0", 0) > 40, firsts.toString());
    }

    /** Found where connections fall silent: one that hung made its server look as slow as the hanging was long. */
    @Test
    void aRequestThatHangsByItselfDoesNotMakeItsServerLate() {
        Host.Setup setup = new Host.Setup();
        setup.effect = Effect.UNSAFE;
        Host h = Host.with(setup, 1);
        play(h, 100, 5);
        List<Action> hangs = h.arrive("act");
        h.fire(hangs);
        for (int i = 0; i < 40; i++) {
            h.serve("read", 10);
        }
        assertTrue(of(h.all, Refuse.class).isEmpty());
    }

    @Test
    void fewerInFlightWins() {
        Host h = Host.with(new Host.Setup(), 2);
        Send a = sent(h.arrive("read"));
        Send b = sent(h.arrive("read"));
        assertNotEquals(a.server(), b.server());
        assertTrue(of(h.all, Refuse.class).isEmpty());
    }

    @Test
    void aMajorityOfVotesDecidesWherePeersTalk() {
        Host.Setup setup = new Host.Setup();
        setup.peers = true;
        Host h = Host.with(setup, 4);
        Host peer = Host.with(setup, 4);
        play(peer, 600, 5, "s0");
        byte[] summary = of(peer.fire(peer.tell(new TimerFired(1))), TellPeers.class).stream().findFirst()
            .orElseGet(() -> of(peer.all, TellPeers.class).get(0)).bytes();
        assertEquals(4, summary.length, "one condemned server");
        play(h, 100, 5);
        h.tell(new PeerSaid(1, summary));
        h.tell(new PeerSaid(2, summary));
        assertTrue(play(h, 100, 1).getOrDefault("s0", 0) <= 1, "two of three votes condemn");
        h.now += 4_000;
        assertTrue(play(h, 100, 5).getOrDefault("s0", 0) > 5, "old votes lapse");
    }
}
