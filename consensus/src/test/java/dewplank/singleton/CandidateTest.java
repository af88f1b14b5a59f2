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
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class CandidateTest {
    private static final LeaseTiming TIMING = new LeaseTiming(3_000, 150, 500, 250);
    private static final double RANDOM_DRAW = 0.5;
    private static final List<AcceptorId> VOTERS =
            List.of(new AcceptorId("x", "x1"), new AcceptorId("y", "y1"), new AcceptorId("z", "z1"));

    /** Records the candidate's actions in order, and the last request to each voter. */
    private static final class RecordedEffects implements Candidate.Effects {
        private final List<String> events = new ArrayList<>();
        private final Map<String, VoteRequest> lastRequests = new TreeMap<>();

        @Override
        public void send(AcceptorId voter, VoteRequest request) {
            assertEquals(voter.identity(), request.voterIdentity());
            events.add(request.kind() + " " + voter.address());
            lastRequests.put(voter.address(), request);
        }

        @Override
        public void leaseAcquired(String duty, long fencingToken) {
            events.add("acquired " + fencingToken);
        }

        @Override
        public void leaseLost(String duty, long fencingToken) {
            events.add("lost " + fencingToken);
        }

        private List<String> drain() {
            List<String> drained = List.copyOf(events);
            events.clear();
            return drained;
        }
    }

    private final RecordedEffects effects = new RecordedEffects();
    private final Candidate candidate = new Candidate("list", "me", TIMING, () -> RANDOM_DRAW, 0);

    CandidateTest() {
        candidate.updateVoterSet(0, AcceptorSet.of(VOTERS), Set.of());
    }

    private void reply(double now, String voter, Verdict verdict, long number, double remainingMs) {
        VoteState state = new VoteState(number, null, remainingMs);
        candidate.onVoteReply(
                now, new VoteReply(effects.lastRequests.get(voter), voter + "1", verdict, state), effects);
    }

    /** Sends the probe at 125 ms, requests votes at 150 ms, and acquires the lease at 160 ms. */
    private void acquireLease() {
        candidate.tick(125, effects);
        reply(150, "x", Verdict.GRANTED, 7, 0);
        reply(150, "z", Verdict.GRANTED, 4, 0);
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        reply(160, "y", Verdict.GRANTED, 8, 3_000);
    }

    /** Sends the probe at 125 ms and requests votes at 150 ms; no vote is granted yet. */
    private void requestVotes() {
        candidate.tick(125, effects);
        reply(150, "x", Verdict.GRANTED, 7, 0);
        reply(150, "z", Verdict.GRANTED, 4, 0);
        effects.drain();
    }

    private static List<String> all(Kind kind) {
        return VOTERS.stream().map(voter -> kind + " " + voter.address()).toList();
    }

    @Test
    void probesThenRequestsVotesUnderATokenAboveAllSeenTokens() {
        candidate.tick(124, effects);
        assertEquals(List.of(), effects.drain());
        candidate.tick(125, effects);
        assertEquals(all(Kind.PROBE), effects.drain());
        reply(150, "x", Verdict.GRANTED, 7, 0);
        assertEquals(List.of(), effects.drain());
        reply(150, "z", Verdict.GRANTED, 4, 0);
        assertEquals(all(Kind.REQUEST_VOTE), effects.drain());
        assertEquals(8, effects.lastRequests.get("y").fencingToken());
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        reply(160, "x", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(160));
        reply(160, "y", Verdict.GRANTED, 8, 3_000);
        assertEquals(List.of("acquired 8"), effects.drain());
        assertEquals(8, candidate.fencingToken());
        assertEquals(160, candidate.leaseAcquiredAtMs());
    }

    @Test
    void theLeaseStartsWhenVotesAreRequested() {
        acquireLease();
        assertTrue(candidate.isLeaseHolder(160));
        assertTrue(candidate.isLeaseHolder(150 + 2_849));
        assertFalse(candidate.isLeaseHolder(150 + 2_850));
    }

    @Test
    void renewsAtAThirdOfTheLeaseUnderTheSameToken() {
        acquireLease();
        effects.drain();
        assertEquals(1_150, candidate.nextTickAtMs());
        candidate.tick(1_150, effects);
        assertEquals(all(Kind.RENEW), effects.drain());
        assertEquals(8, effects.lastRequests.get("x").fencingToken());
        reply(2_500, "x", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(3_000));
        reply(2_500, "z", Verdict.GRANTED, 8, 3_000);
        assertTrue(candidate.isLeaseHolder(3_999));
        assertFalse(candidate.isLeaseHolder(4_000));
        assertEquals(List.of(), effects.drain());
    }

    @Test
    void aHolderWhoseLeaseExpiredRequestsVotesUnderANewToken() {
        acquireLease();
        candidate.tick(1_150, effects);
        effects.drain();
        reply(3_000, "x", Verdict.GRANTED, 8, 3_000);
        reply(3_000, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(3_000));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), effects.drain());
        candidate.tick(3_125, effects);
        assertEquals(all(Kind.PROBE), effects.drain());
        reply(3_130, "x", Verdict.GRANTED, 8, 0);
        reply(3_130, "y", Verdict.GRANTED, 8, 0);
        assertEquals(9, effects.lastRequests.get("x").fencingToken());
    }

    @Test
    void startsTheNextElectionOnceAMajorityMayBeFree() {
        candidate.tick(125, effects);
        effects.drain();
        reply(150, "x", Verdict.REJECTED, 3, 2_000);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        assertEquals(625, candidate.nextTickAtMs());
        reply(150, "z", Verdict.REJECTED, 3, 1_500);
        assertEquals(150 + 1_500 + 125, candidate.nextTickAtMs());
        assertEquals(List.of(), effects.drain());
    }

    @Test
    void withdrawsVotesWhenTheElectionFails() {
        candidate.tick(125, effects);
        reply(150, "x", Verdict.GRANTED, 3, 0);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        effects.drain();
        reply(160, "x", Verdict.REJECTED, 4, 3_000);
        reply(160, "y", Verdict.REJECTED, 4, 3_000);
        assertEquals(List.of("WITHDRAW z"), effects.drain());
        assertEquals(160 + 250, candidate.nextTickAtMs());
    }

    @Test
    void aProbeWithoutRepliesTimesOut() {
        candidate.tick(125, effects);
        candidate.tick(625, effects);
        assertEquals(all(Kind.PROBE), effects.drain());
        assertEquals(625 + 250, candidate.nextTickAtMs());
        reply(630, "x", Verdict.GRANTED, 3, 0);
        reply(630, "y", Verdict.GRANTED, 3, 0);
        assertEquals(List.of(), effects.drain());
    }

    @Test
    void neverRequestsVotesTwiceUnderOneToken() {
        candidate.tick(125, effects);
        reply(150, "x", Verdict.GRANTED, 3, 0);
        reply(150, "y", Verdict.GRANTED, 3, 0);
        assertEquals(4, effects.lastRequests.get("x").fencingToken());
        candidate.tick(650, effects);
        candidate.tick(900, effects);
        reply(950, "x", Verdict.GRANTED, 3, 0);
        reply(950, "y", Verdict.GRANTED, 3, 0);
        assertEquals(Kind.REQUEST_VOTE, effects.lastRequests.get("x").kind());
        assertEquals(5, effects.lastRequests.get("x").fencingToken());
    }

    @Test
    void releasesTheLeaseAtShutdownAndStartsNoFurtherElection() {
        acquireLease();
        effects.drain();
        candidate.shutDown(200, effects);
        assertFalse(candidate.isLeaseHolder(200));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), effects.drain());
        candidate.onLeaseReleased(200);
        candidate.tick(99_999, effects);
        assertEquals(List.of(), effects.drain());
    }

    @Test
    void startsAnElectionSoonAfterARelease() {
        candidate.tick(125, effects);
        reply(150, "x", Verdict.REJECTED, 3, 2_000);
        reply(150, "y", Verdict.REJECTED, 3, 2_000);
        candidate.onLeaseReleased(300);
        assertEquals(425, candidate.nextTickAtMs());
    }

    /** The release reached this process's voter, but the others rejected the probe before they received the release. */
    @Test
    void aProbeThatIsRejectedJustAfterAReleaseIsRepeatedAfterTheElectionDelay() {
        candidate.tick(125, effects);
        candidate.onLeaseReleased(140);
        reply(150, "x", Verdict.REJECTED, 3, 2_000);
        reply(150, "y", Verdict.REJECTED, 3, 2_000);
        assertEquals(150 + 250, candidate.nextTickAtMs());
        candidate.tick(400, effects);
        reply(410 + TIMING.voteTimeoutMs(), "x", Verdict.REJECTED, 4, 2_000);
        reply(410 + TIMING.voteTimeoutMs(), "y", Verdict.REJECTED, 4, 2_000);
        assertEquals(400 + TIMING.voteTimeoutMs() + 10 + 2_000 + 125, candidate.nextTickAtMs());
    }

    @Test
    void ignoresRepliesToAnotherIncarnation() {
        candidate.tick(125, effects);
        for (AcceptorId voter : VOTERS) {
            VoteRequest earlier = new VoteRequest(Kind.PROBE, "list", "me/earlier", voter.identity(), 1, 0, 0);
            VoteState state = new VoteState(3, null, 0);
            candidate.onVoteReply(130, new VoteReply(earlier, voter.identity(), Verdict.GRANTED, state), effects);
        }
        assertEquals(all(Kind.PROBE), effects.drain());
    }

    @Test
    void tokensOfALaterSetAreAboveThoseOfEarlierSets() {
        candidate.updateVoterSet(0, new AcceptorSet(2, VOTERS, List.of()), Set.of());
        candidate.updateVoterSet(0, new AcceptorSet(1, VOTERS.subList(0, 1), List.of()), Set.of());
        acquireLease();
        assertEquals((2L << 20) + 1, candidate.fencingToken());
    }

    @Test
    void aReplyOfAnotherDiskAtTheAddressCountsAsARejection() {
        candidate.tick(125, effects);
        for (String address : List.of("x", "y")) {
            VoteReply other = new VoteReply(
                    effects.lastRequests.get(address), address + "2", Verdict.GRANTED, new VoteState(0, null, 0));
            candidate.onVoteReply(150, other, effects);
        }
        reply(150, "z", Verdict.GRANTED, 3, 0);
        assertEquals(all(Kind.PROBE), effects.drain());
        assertEquals(150 + 250, candidate.nextTickAtMs());
    }

    @Test
    void aJointSetRequiresBothMajorities() {
        List<AcceptorId> joining = List.of(VOTERS.get(0), new AcceptorId("y", "y2"), new AcceptorId("w", "w1"));
        candidate.updateVoterSet(0, new AcceptorSet(1, VOTERS, joining), Set.of());
        candidate.tick(125, effects);
        reply(150, "x", Verdict.GRANTED, 0, 0);
        reply(150, "z", Verdict.GRANTED, 0, 0);
        assertFalse(effects.events.stream().anyMatch(event -> event.startsWith("REQUEST_VOTE")));
        reply(150, "w", Verdict.GRANTED, 0, 0);
        assertTrue(effects.events.stream().anyMatch(event -> event.startsWith("REQUEST_VOTE")));
    }

    @Test
    void votesAfterTheVoteTimeoutDoNotCount() {
        candidate.tick(125, effects);
        reply(150, "x", Verdict.GRANTED, 7, 0);
        reply(150, "z", Verdict.GRANTED, 4, 0);
        reply(650, "x", Verdict.GRANTED, 8, 3_000);
        reply(650, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(650));
    }

    @Test
    void aRenewalByANewSetExtendsTheLeaseUnlessSentWithinAVoteTimeoutOfTheExpiry() {
        acquireLease();
        candidate.updateVoterSet(1_000, new AcceptorSet(1, VOTERS, List.of()), Set.of());
        assertEquals(1_000, candidate.nextTickAtMs());
        candidate.tick(1_000, effects);
        reply(1_010, "x", Verdict.GRANTED, 8, 3_000);
        reply(1_010, "y", Verdict.GRANTED, 8, 3_000);
        assertTrue(candidate.isLeaseHolder(1_000 + 2_849));
        double lateMs = 1_000 + 2_850 - 499;
        candidate.updateVoterSet(lateMs, new AcceptorSet(2, VOTERS, List.of()), Set.of());
        candidate.tick(lateMs, effects);
        reply(lateMs + 10, "x", Verdict.GRANTED, 8, 3_000);
        reply(lateMs + 10, "y", Verdict.GRANTED, 8, 3_000);
        assertFalse(candidate.isLeaseHolder(1_000 + 2_850));
    }

    @Test
    void aHolderThatStepsDownReleasesTheLeaseAndStartsAnElectionAfterTheBackoff() {
        acquireLease();
        effects.drain();
        candidate.stepDown(200, 5_000, effects);
        assertFalse(candidate.isLeaseHolder(200));
        assertEquals(List.of("lost 8", "RELEASE x", "RELEASE y", "RELEASE z"), effects.drain());
        candidate.onLeaseReleased(210);
        assertEquals(5_200 + 125, candidate.nextTickAtMs());
        candidate.tick(5_325, effects);
        assertEquals(all(Kind.PROBE), effects.drain());
    }

    @Test
    void aCandidateThatShutsDownWithdrawsTheVotesItRequested() {
        requestVotes();
        candidate.shutDown(160, effects);
        assertEquals(List.of("WITHDRAW x", "WITHDRAW y", "WITHDRAW z"), effects.drain());
        assertEquals(Double.POSITIVE_INFINITY, candidate.nextTickAtMs());
        candidate.tick(1e9, effects);
        candidate.stepDown(1e9, 1, effects);
        candidate.shutDown(1e9, effects);
        assertEquals(List.of(), effects.drain());
    }

    @Test
    void aCandidateThatStepsDownDuringAnElectionWithdrawsAndStartsTheNextOneAfterTheBackoff() {
        requestVotes();
        candidate.stepDown(160, 5_000, effects);
        assertEquals(List.of("WITHDRAW x", "WITHDRAW y", "WITHDRAW z"), effects.drain());
        candidate.onLeaseReleased(170);
        candidate.tick(5_159, effects);
        assertEquals(List.of(), effects.drain());
        candidate.tick(5_160 + 250, effects);
        assertEquals(List.of("PROBE x", "PROBE y", "PROBE z"), effects.drain());
    }

    /**
     * Once a voter without a disk is known to have terminated, the votes of the other voters suffice, but only in
     * rounds that are sent later.
     */
    @Test
    void roundsExcludeVotersThatTerminatedBeforeTheyWereSent() {
        AcceptorId founder = new AcceptorId("x", AcceptorId.volatileIdentity("x", "1"));
        AcceptorId other = new AcceptorId("y", AcceptorId.volatileIdentity("y", "1"));
        AcceptorSet founders = AcceptorSet.of(List.of(founder, other));
        candidate.updateVoterSet(0, founders, Set.of());
        candidate.tick(125, effects);
        replyAs(150, other, Verdict.GRANTED);
        assertEquals(List.of("PROBE x", "PROBE y"), effects.drain());
        candidate.updateVoterSet(160, founders, Set.of(founder));
        replyAs(170, other, Verdict.GRANTED);
        assertEquals(List.of(), effects.drain(), "the probe was sent before the voter was known to have terminated");
        candidate.tick(10_000, effects);
        candidate.tick(20_000, effects);
        assertEquals(List.of("PROBE x", "PROBE y"), effects.drain());
        replyAs(20_001, other, Verdict.GRANTED);
        assertEquals(List.of("REQUEST_VOTE x", "REQUEST_VOTE y"), effects.drain());
        replyAs(20_002, other, Verdict.GRANTED);
        assertEquals(1, effects.drain().size());
        assertTrue(candidate.isLeaseHolder(20_003));
    }

    private void replyAs(double now, AcceptorId voter, Verdict verdict) {
        VoteRequest request = effects.lastRequests.get(voter.address());
        candidate.onVoteReply(
                now, new VoteReply(request, voter.identity(), verdict, new VoteState(0, null, 0)), effects);
    }
}
