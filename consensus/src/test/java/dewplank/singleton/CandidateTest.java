package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.VoteReply.Verdict;
import dewplank.singleton.VoteReply.VoteState;
import dewplank.singleton.VoteRequest.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class CandidateTest {
    private static final LeaseTiming TIMING = new LeaseTiming(3_000, 150, 500, 250);
    private static final double HALF = 0.5;
    private static final List<AcceptorId> VOTERS =
            List.of(new AcceptorId("x", "x1"), new AcceptorId("y", "y1"), new AcceptorId("z", "z1"));

    /** What a candidate asked for. */
    private static final class Seen implements Candidate.Effects {
        private final List<String> events = new ArrayList<>();
        private final Map<String, VoteRequest> last = new TreeMap<>();

        @Override
        public void send(AcceptorId voter, VoteRequest request) {
            assertEquals(voter.identity(), request.voterIdentity());
            events.add(request.kind() + " " + voter.address());
            last.put(voter.address(), request);
        }

        @Override
        public void leaseAcquired(String duty, long fencingToken) {
            events.add("won " + fencingToken);
        }

        @Override
        public void leaseLost(String duty, long fencingToken) {
            events.add("lost " + fencingToken);
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
        candidate.updateVoterSet(0, AcceptorSet.of(VOTERS));
    }

    private void reply(double now, String voter, Verdict verdict, long number, double remainingMs) {
        VoteState state = new VoteState(number, null, remainingMs);
        candidate.onVoteReply(now, new VoteReply(seen.last.get(voter), voter + "1", verdict, state), seen);
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
        return VOTERS.stream().map(voter -> kind + " " + voter.address()).toList();
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
        assertEquals(all(Kind.REQUEST_VOTE), seen.taken());
        assertEquals(8, seen.last.get("y").fencingToken());
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(160));
        reply(160, "y", Verdict.GRANTED, 8, 3_000);
        assertEquals(List.of("won 8"), seen.taken());
        assertEquals(8, candidate.fencingToken());
        assertEquals(160, candidate.leaseAcquiredAtMs());
    }

    @Test
    void holdsFromTheMomentItAsked() {
        win();
        assertTrue(candidate.isLeaseHolder(160));
        assertTrue(candidate.isLeaseHolder(150 + 2_849));
        assertFalse(candidate.isLeaseHolder(150 + 2_850));
    }

    @Test
    void renewsAtAThirdOfTheLeaseUnderTheSameNumber() {
        win();
        seen.taken();
        assertEquals(1_150, candidate.nextTickAtMs());
        candidate.tick(1_150, seen);
        assertEquals(all(Kind.RENEW), seen.taken());
        assertEquals(8, seen.last.get("x").fencingToken());
        reply(2_500, "x", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(3_000));
        reply(2_500, "z", Verdict.GRANTED, 8, 3_000);
        assertTrue(candidate.isLeaseHolder(3_999));
        assertFalse(candidate.isLeaseHolder(4_000));
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void aFrozenHolderWinsAnewUnderANewNumber() {
        win();
        candidate.tick(1_150, seen);
        seen.taken();
        reply(3_000, "x", Verdict.GRANTED, 8, 3_000);
        reply(3_000, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(3_000));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), seen.taken());
        candidate.tick(3_125, seen);
        assertEquals(all(Kind.PROBE), seen.taken());
        reply(3_130, "x", Verdict.GRANTED, 8, 0);
        reply(3_130, "y", Verdict.GRANTED, 8, 0);
        assertEquals(9, seen.last.get("x").fencingToken());
    }

    @Test
    void waitsUntilAMajorityMayBeFree() {
        candidate.tick(125, seen);
        seen.taken();
        reply(150, "x", Verdict.REJECTED, 3, 2_000);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        assertEquals(625, candidate.nextTickAtMs());
        reply(150, "z", Verdict.REJECTED, 3, 1_500);
        assertEquals(150 + 1_500 + 125, candidate.nextTickAtMs());
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void givesVotesBackWhenTheBallotFails() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 3, 0);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        seen.taken();
        reply(160, "x", Verdict.REJECTED, 4, 3_000);
        reply(160, "y", Verdict.REJECTED, 4, 3_000);
        assertEquals(List.of("WITHDRAW z"), seen.taken());
        assertEquals(160 + 250, candidate.nextTickAtMs());
    }

    @Test
    void aBallotWithoutAnswersEnds() {
        candidate.tick(125, seen);
        candidate.tick(625, seen);
        assertEquals(all(Kind.PROBE), seen.taken());
        assertEquals(625 + 250, candidate.nextTickAtMs());
        reply(630, "x", Verdict.GRANTED, 3, 0);
        reply(630, "y", Verdict.GRANTED, 3, 0);
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void neverAsksTwiceUnderOneNumber() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 3, 0);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        assertEquals(4, seen.last.get("x").fencingToken());
        candidate.tick(650, seen);
        candidate.tick(900, seen);
        reply(950, "x", Verdict.GRANTED, 3, 0);
        reply(950, "y", Verdict.GRANTED, 3, 0);
        assertEquals(Kind.REQUEST_VOTE, seen.last.get("x").kind());
        assertEquals(5, seen.last.get("x").fencingToken());
    }

    @Test
    void releasesAndStandsNoMore() {
        win();
        seen.taken();
        candidate.shutDown(200, seen);
        assertFalse(candidate.isLeaseHolder(200));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), seen.taken());
        candidate.onLeaseReleased(200);
        candidate.tick(99_999, seen);
        assertEquals(List.of(), seen.taken());
    }

    @Test
    void triesSoonAfterTheDutyWasLaidDown() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.REJECTED, 3, 2_000);
        reply(150, "y", Verdict.REJECTED, 3, 2_000);
        candidate.onLeaseReleased(300);
        assertEquals(425, candidate.nextTickAtMs());
    }

    @Test
    void repliesToAnotherLifeCountForNothing() {
        candidate.tick(125, seen);
        for (AcceptorId voter : VOTERS) {
            VoteRequest earlier = new VoteRequest(Kind.PROBE, "list", "me before", voter.identity(), 1, 0, 0);
            VoteState state = new VoteState(3, null, 0);
            candidate.onVoteReply(130, new VoteReply(earlier, voter.identity(), Verdict.GRANTED, state), seen);
        }
        assertEquals(all(Kind.PROBE), seen.taken());
    }

    @Test
    void numbersOfALaterSetAreAboveThoseOfEarlierSets() {
        candidate.updateVoterSet(0, new AcceptorSet(2, VOTERS, List.of()));
        candidate.updateVoterSet(0, new AcceptorSet(1, VOTERS.subList(0, 1), List.of()));
        win();
        assertEquals((2L << 20) + 1, candidate.fencingToken());
    }

    @Test
    void aVoteOfAnotherDiskAtTheAddressCountsForNothingAndIsNotWaitedFor() {
        candidate.tick(125, seen);
        for (String address : List.of("x", "y")) {
            VoteReply other =
                    new VoteReply(seen.last.get(address), address + "2", Verdict.GRANTED, new VoteState(0, null, 0));
            candidate.onVoteReply(150, other, seen);
        }
        reply(150, "z", Verdict.GRANTED, 3, 0);
        assertEquals(all(Kind.PROBE), seen.taken());
        assertEquals(150 + 250, candidate.nextTickAtMs());
    }

    @Test
    void aJointSetNeedsBothMajorities() {
        List<AcceptorId> joining = List.of(VOTERS.get(0), new AcceptorId("y", "y2"), new AcceptorId("w", "w1"));
        candidate.updateVoterSet(0, new AcceptorSet(1, VOTERS, joining));
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 0, 0);
        reply(150, "z", Verdict.GRANTED, 0, 0);
        assertFalse(seen.events.stream().anyMatch(event -> event.startsWith("REQUEST_VOTE")));
        reply(150, "w", Verdict.GRANTED, 0, 0);
        assertTrue(seen.events.stream().anyMatch(event -> event.startsWith("REQUEST_VOTE")));
    }

    @Test
    void votesThatComeAfterTheBallotsTimeWinNothing() {
        candidate.tick(125, seen);
        reply(150, "x", Verdict.GRANTED, 7, 0);
        reply(150, "z", Verdict.GRANTED, 4, 0);
        reply(650, "x", Verdict.GRANTED, 8, 3_000);
        reply(650, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(650));
    }

    @Test
    void renewsByANewSetAtOnceButNotOnceTheOldLeaseIsNearlyOver() {
        win();
        candidate.updateVoterSet(1_000, new AcceptorSet(1, VOTERS, List.of()));
        assertEquals(1_000, candidate.nextTickAtMs());
        candidate.tick(1_000, seen);
        reply(1_010, "x", Verdict.GRANTED, 8, 3_000);
        reply(1_010, "y", Verdict.GRANTED, 8, 3_000);
        assertTrue(candidate.isLeaseHolder(1_000 + 2_849));
        double late = 1_000 + 2_850 - 499;
        candidate.updateVoterSet(late, new AcceptorSet(2, VOTERS, List.of()));
        candidate.tick(late, seen);
        reply(late + 10, "x", Verdict.GRANTED, 8, 3_000);
        reply(late + 10, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(1_000 + 2_850));
    }

    @Test
    void aPausedHolderReleasesAndStandsAgainAfterThePause() {
        win();
        seen.taken();
        candidate.stepDown(200, 5_000, seen);
        assertFalse(candidate.isLeaseHolder(200));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), seen.taken());
        candidate.onLeaseReleased(210);
        assertEquals(5_200 + 125, candidate.nextTickAtMs());
        candidate.tick(5_325, seen);
        assertEquals(all(Kind.PROBE), seen.taken());
    }
}
