package dewplank.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import dewplank.duty.VoteReply.Standing;
import dewplank.duty.VoteReply.Verdict;
import dewplank.duty.VoteRequest.Kind;
import org.junit.jupiter.api.Test;

class CandidateTest {
    private static final DutyTiming TIMING = new DutyTiming(3_000, 150, 500, 250);
    private static final double HALF = 0.5;
    private static final List<String> VOTERS = List.of("x", "y", "z");

    /** What a candidate asked for. */
    private static final class Seen implements CandidateOutput {
        private final List<String> events = new ArrayList<>();
        private final Map<String, VoteRequest> last = new TreeMap<>();

        @Override
        public void send(String voter, VoteRequest request) {
            events.add(request.kind() + " " + voter);
            last.put(voter, request);
        }

        @Override
        public void won(String duty, long number) {
            events.add("won " + number);
        }

        @Override
        public void lost(String duty, long number) {
            events.add("lost " + number);
        }

        private List<String> taken() {
            List<String> taken = List.copyOf(events);
            events.clear();
            return taken;
        }
    }

    private final Seen seen = new Seen();
    private final Candidate candidate = new Candidate("list", "me", TIMING, () -> HALF, 0);

    CandidateTest() {
        candidate.voters(0, VOTERS);
    }

    private void reply(double now, String voter, Verdict verdict, long number, double remainingMs) {
        Standing standing = new Standing(number, null, remainingMs);
        candidate.received(now, new VoteReply(seen.last.get(voter), voter, verdict, standing), seen);
    }

    /** Probed at 125 and asked at 150, won at 160. */
    private void win() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 7, 0);
        reply(150, "z", Verdict.GRANTED, 4, 0);
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        reply(160, "y", Verdict.GRANTED, 8, 3_000);
    }

    private static List<String> all(Kind kind) {
        return VOTERS.stream().map(voter -> kind + " " + voter).toList();
    }

    @Test
    void probesThenAsksUnderANumberAboveAllSeen() {
        candidate.tick(124, seen);
        assertEquals(List.of(), seen.taken());
        candidate.tick(125, seen);
        assertEquals(all(Kind.PROBE), seen.taken());
        reply(150, "x", Verdict.GRANTED, 7, 0);
        assertEquals(List.of(), seen.taken());
        reply(150, "z", Verdict.GRANTED, 4, 0);
        assertEquals(all(Kind.ASK), seen.taken());
        assertEquals(8, seen.last.get("y").number());
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.holds(160));
        reply(160, "y", Verdict.GRANTED, 8, 3_000);
        assertEquals(List.of("won 8"), seen.taken());
        assertEquals(8, candidate.fencingNumber());
        assertEquals(160, candidate.wonAt());
    }

    @Test
    void holdsFromTheMomentItAsked() {
        win();
        assertTrue(candidate.holds(160));
        assertTrue(candidate.holds(150 + 2_849));
        assertFalse(candidate.holds(150 + 2_850));
    }

    @Test
    void renewsAtAThirdOfTheLeaseUnderTheSameNumber() {
        win();
        seen.taken();
        assertEquals(1_150, candidate.wakeAt());
        candidate.tick(1_150, seen);
        assertEquals(all(Kind.RENEW), seen.taken());
        assertEquals(8, seen.last.get("x").number());
        reply(2_500, "x", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.holds(3_000));
        reply(2_500, "z", Verdict.GRANTED, 8, 3_000);
        assertTrue(candidate.holds(3_999));
        assertFalse(candidate.holds(4_000));
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void aFrozenHolderWinsAnewUnderANewNumber() {
        win();
        candidate.tick(1_150, seen);
        seen.taken();
        reply(3_000, "x", Verdict.GRANTED, 8, 3_000);
        reply(3_000, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.holds(3_000));
        assertEquals(List.of("lost 8"), seen.taken());
        candidate.tick(3_125, seen);
        assertEquals(all(Kind.PROBE), seen.taken());
        reply(3_130, "x", Verdict.GRANTED, 8, 0);
        reply(3_130, "y", Verdict.GRANTED, 8, 0);
        assertEquals(9, seen.last.get("x").number());
    }

    @Test
    void waitsUntilAMajorityMayBeFree() {
        candidate.tick(125, seen);
        seen.taken();
        reply(150, "x", Verdict.REFUSED, 3, 2_000);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        assertEquals(625, candidate.wakeAt());
        reply(150, "z", Verdict.REFUSED, 3, 1_500);
        assertEquals(150 + 1_500 + 125, candidate.wakeAt());
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void givesVotesBackWhenTheBallotFails() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 3, 0);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        seen.taken();
        reply(160, "x", Verdict.REFUSED, 4, 3_000);
        reply(160, "y", Verdict.REFUSED, 4, 3_000);
        assertEquals(List.of("WITHDRAW z"), seen.taken());
        assertEquals(160 + 250, candidate.wakeAt());
    }

    @Test
    void aBallotWithoutAnswersEnds() {
        candidate.tick(125, seen);
        candidate.tick(625, seen);
        assertEquals(all(Kind.PROBE), seen.taken());
        assertEquals(625 + 250, candidate.wakeAt());
        reply(630, "x", Verdict.GRANTED, 3, 0);
        reply(630, "y", Verdict.GRANTED, 3, 0);
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void neverAsksTwiceUnderOneNumber() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 3, 0);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        assertEquals(4, seen.last.get("x").number());
        candidate.tick(650, seen);
        candidate.tick(900, seen);
        reply(950, "x", Verdict.GRANTED, 3, 0);
        reply(950, "y", Verdict.GRANTED, 3, 0);
        assertEquals(Kind.ASK, seen.last.get("x").kind());
        assertEquals(5, seen.last.get("x").number());
    }

    @Test
    void releasesAndStandsNoMore() {
        win();
        seen.taken();
        candidate.release(200, seen);
        assertFalse(candidate.holds(200));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), seen.taken());
        candidate.vacated(200);
        candidate.tick(99_999, seen);
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void triesSoonAfterTheDutyWasLaidDown() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.REFUSED, 3, 2_000);
        reply(150, "y", Verdict.REFUSED, 3, 2_000);
        candidate.vacated(300);
        assertEquals(425, candidate.wakeAt());
    }

    @Test
    void repliesToAnotherLifeCountForNothing() {
        candidate.tick(125, seen);
        VoteRequest earlier = new VoteRequest(Kind.PROBE, "list", "me before", 1, 0, 0);
        for (String voter : VOTERS) {
            candidate.received(130, new VoteReply(earlier, voter, Verdict.GRANTED, new Standing(3, null, 0)), seen);
        }
        assertEquals(all(Kind.PROBE), seen.taken());
    }

    @Test
    void numbersOfALaterListAreAboveThoseOfEarlierLists() {
        candidate.voters(2, VOTERS);
        candidate.voters(1, List.of("x"));
        win();
        assertEquals((2L << 20) + 1, candidate.fencingNumber());
    }
}
