package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dewplank.singleton.VoteReply.Verdict;
import dewplank.singleton.VoteRequest.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LeaseVoterTest {
    private static final double LEASE_MS = 3_000;

    /** Records the voter's actions; a write completes or fails immediately. */
    private final class RecordedEffects implements LeaseVoter.Effects {
        private final List<VoteReply> replies = new ArrayList<>();
        private final List<Long> persistedTokens = new ArrayList<>();
        private final List<String> released = new ArrayList<>();

        @Override
        public void persistToken(VoteRequest request, VoteReply reply) {
            if (diskFails) {
                voter.onPersistFailed(failedAt, request, this);
                return;
            }
            persistedTokens.add(reply.highestToken());
            voter.onTokenPersisted(request);
            replies.add(reply);
        }

        @Override
        public void send(VoteReply reply) {
            replies.add(reply);
        }

        @Override
        public void leaseReleased(String duty) {
            released.add(duty);
        }
    }

    private final RecordedEffects effects = new RecordedEffects();
    private final LeaseVoter voter = new LeaseVoter("v", LEASE_MS, 0, Map.of());
    private boolean diskFails;
    private double failedAt;

    private VoteReply vote(LeaseVoter voter, double now, Kind kind, String candidate, long token, long generation) {
        int before = effects.replies.size();
        voter.onVoteRequest(now, new VoteRequest(kind, "list", candidate, "v", 5, token, generation), effects);
        return effects.replies.size() == before ? null : effects.replies.get(before);
    }

    private VoteReply vote(double now, Kind kind, String candidate, long token) {
        return vote(voter, now, kind, candidate, token, 0);
    }

    @Test
    void aVoteBindsForALease() {
        assertEquals(Verdict.GRANTED, vote(0, Kind.REQUEST_VOTE, "a", 1).verdict());
        VoteReply rejected = vote(1_000, Kind.REQUEST_VOTE, "b", 2);
        assertEquals(Verdict.REJECTED, rejected.verdict());
        assertEquals("a", rejected.grantedTo());
        assertEquals(1, rejected.highestToken());
        assertEquals(2_000, rejected.remainingMs());
        assertEquals(5, rejected.round());
        assertEquals(Verdict.REJECTED, vote(2_999, Kind.PROBE, "b", 2).verdict());
        assertEquals(Verdict.GRANTED, vote(3_000, Kind.REQUEST_VOTE, "b", 2).verdict());
        assertEquals(List.of(1L, 2L), effects.persistedTokens);
    }

    @Test
    void neverVotesTwiceUnderOneToken() {
        vote(0, Kind.REQUEST_VOTE, "a", 4);
        assertEquals(Verdict.REJECTED, vote(9_000, Kind.REQUEST_VOTE, "b", 4).verdict());
        assertEquals(Verdict.REJECTED, vote(9_000, Kind.REQUEST_VOTE, "b", 3).verdict());
        assertEquals(Verdict.REJECTED, vote(9_000, Kind.REQUEST_VOTE, "a", 4).verdict());
        assertEquals(4, vote(9_000, Kind.PROBE, "b", 4).highestToken());
        assertEquals(Verdict.GRANTED, vote(9_000, Kind.REQUEST_VOTE, "b", 5).verdict());
    }

    @Test
    void renewsUnderTheSameTokenWithoutAWrite() {
        vote(0, Kind.REQUEST_VOTE, "a", 1);
        assertEquals(Verdict.GRANTED, vote(2_000, Kind.RENEW, "a", 1).verdict());
        assertEquals(Verdict.REJECTED, vote(4_999, Kind.REQUEST_VOTE, "b", 2).verdict());
        assertEquals(Verdict.REJECTED, vote(2_000, Kind.RENEW, "b", 1).verdict());
        assertEquals(List.of(1L), effects.persistedTokens);
    }

    @Test
    void probesDoNotBind() {
        assertEquals(Verdict.GRANTED, vote(0, Kind.PROBE, "a", 7).verdict());
        assertEquals(Verdict.GRANTED, vote(0, Kind.REQUEST_VOTE, "b", 1).verdict());
    }

    @Test
    void isFreeImmediatelyAfterTheReleaseOfTheLease() {
        vote(0, Kind.REQUEST_VOTE, "a", 1);
        assertNull(vote(10, Kind.RELEASE, "b", 1));
        assertEquals(Verdict.REJECTED, vote(10, Kind.REQUEST_VOTE, "b", 2).verdict());
        vote(10, Kind.RELEASE, "a", 1);
        assertEquals(List.of("list"), effects.released);
        assertEquals(Verdict.REJECTED, vote(10, Kind.RENEW, "a", 1).verdict());
        assertEquals(Verdict.GRANTED, vote(10, Kind.REQUEST_VOTE, "b", 2).verdict());
    }

    /** The release overtakes the holder's requests to a voter whose vote the holder did not need. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"REQUEST_VOTE", "RENEW"})
    void aRequestThatArrivesAfterTheReleaseOfItsLeaseDoesNotBind(Kind overtaken) {
        vote(0, Kind.RELEASE, "a", 3);
        assertEquals(List.of("list"), effects.released);
        assertEquals(Verdict.REJECTED, vote(1, overtaken, "a", 3).verdict());
        assertEquals(List.of(), effects.persistedTokens);
        assertEquals(Verdict.GRANTED, vote(2, Kind.REQUEST_VOTE, "b", 4).verdict());
    }

    @Test
    void theReleaseOfAnEarlierLeaseIsIgnored() {
        vote(0, Kind.REQUEST_VOTE, "b", 4);
        vote(1, Kind.RELEASE, "a", 3);
        assertEquals(List.of(), effects.released);
        assertEquals(Verdict.GRANTED, vote(2, Kind.RENEW, "b", 4).verdict());
        vote(3, Kind.RELEASE, "b", 4);
        vote(4, Kind.RELEASE, "b", 4);
        assertEquals(List.of("list"), effects.released);
    }

    @Test
    void aWithdrawalIsNotReportedAsARelease() {
        vote(0, Kind.REQUEST_VOTE, "a", 1);
        vote(10, Kind.WITHDRAW, "a", 1);
        assertEquals(List.of(), effects.released);
        assertEquals(Verdict.GRANTED, vote(10, Kind.REQUEST_VOTE, "b", 2).verdict());
    }

    @Test
    void abstainsAfterARestartAndRetainsItsTokens() {
        LeaseVoter restarted = new LeaseVoter("v", LEASE_MS, LEASE_MS, Map.of("list", 6L));
        for (Kind kind : List.of(Kind.PROBE, Kind.REQUEST_VOTE, Kind.RENEW)) {
            VoteReply reply = vote(restarted, 2_000, kind, "a", 7, 0);
            assertEquals(Verdict.ABSTAINED, reply.verdict());
            assertEquals(6, reply.highestToken());
            assertEquals(1_000, reply.remainingMs());
        }
        assertEquals(
                Verdict.REJECTED,
                vote(restarted, 3_000, Kind.REQUEST_VOTE, "b", 6, 0).verdict());
        assertEquals(
                Verdict.GRANTED, vote(restarted, 3_000, Kind.RENEW, "a", 6, 0).verdict());
        assertEquals(
                Verdict.REJECTED,
                vote(restarted, 3_000, Kind.REQUEST_VOTE, "b", 7, 0).verdict());
        assertEquals(List.of(), effects.persistedTokens);
    }

    @Test
    void rejectsRequestsForAnotherIdentityWithAReply() {
        VoteRequest request = new VoteRequest(Kind.REQUEST_VOTE, "list", "a", "earlier disk", 5, 1, 0);
        voter.onVoteRequest(0, request, effects);
        VoteReply reply = effects.replies.get(0);
        assertEquals(Verdict.WRONG_IDENTITY, reply.verdict());
        assertEquals("earlier disk", reply.requestedIdentity());
        assertEquals("v", reply.voterIdentity());
        assertEquals(List.of(), effects.persistedTokens);
        assertEquals(Verdict.GRANTED, vote(0, Kind.REQUEST_VOTE, "b", 1).verdict());
        voter.onVoteRequest(1, new VoteRequest(Kind.RELEASE, "list", "b", "earlier disk", 5, 1, 0), effects);
        assertEquals(List.of(), effects.released);
        assertEquals(Verdict.REJECTED, vote(1, Kind.REQUEST_VOTE, "c", 2).verdict());
    }

    @Test
    void grantsNoVoteToANewHolderForOneLeaseAfterANewSet() {
        vote(0, Kind.REQUEST_VOTE, "a", 1);
        voter.updateVoterSet(1_000, 0, 1);
        assertEquals(Verdict.REJECTED, vote(voter, 1_000, Kind.RENEW, "a", 1, 0).verdict());
        assertEquals(Verdict.GRANTED, vote(voter, 1_000, Kind.RENEW, "a", 1, 1).verdict());
        vote(voter, 1_100, Kind.RELEASE, "a", 1, 1);
        VoteReply reply = vote(voter, 3_999, Kind.PROBE, "b", 1, 1);
        assertEquals(Verdict.ABSTAINED, reply.verdict());
        assertEquals(1, reply.remainingMs());
        assertEquals(
                Verdict.ABSTAINED,
                vote(voter, 3_999, Kind.REQUEST_VOTE, "b", 2, 1).verdict());
        assertEquals(
                Verdict.GRANTED,
                vote(voter, 4_000, Kind.REQUEST_VOTE, "b", 2, 1).verdict());
    }

    @Test
    void adoptsTheSetGenerationOfACandidatesRequest() {
        assertEquals(
                Verdict.ABSTAINED, vote(voter, 0, Kind.REQUEST_VOTE, "a", 1, 2).verdict());
        assertEquals(
                Verdict.REJECTED,
                vote(voter, LEASE_MS, Kind.REQUEST_VOTE, "b", 1, 1).verdict());
        assertEquals(
                Verdict.GRANTED,
                vote(voter, LEASE_MS, Kind.REQUEST_VOTE, "a", 1, 2).verdict());
    }

    @Test
    void anAcceptedSetThatIsReplacedByAnOlderOneNoLongerExcludesCandidates() {
        voter.updateVoterSet(0, 2, 3);
        assertEquals(
                Verdict.REJECTED,
                vote(voter, LEASE_MS, Kind.REQUEST_VOTE, "a", 1, 2).verdict());
        voter.updateVoterSet(LEASE_MS, 2, 2);
        assertEquals(
                Verdict.GRANTED,
                vote(voter, LEASE_MS, Kind.REQUEST_VOTE, "a", 1, 2).verdict());
    }

    @Test
    void repliesWithAnAbstentionWhenATokenCannotBePersisted() {
        diskFails = true;
        VoteReply reply = vote(0, Kind.REQUEST_VOTE, "a", 1);
        assertEquals(Verdict.ABSTAINED, reply.verdict());
        assertEquals(LEASE_MS / 4, reply.remainingMs());
        assertEquals(Verdict.ABSTAINED, vote(1, Kind.PROBE, "b", 1).verdict());
        assertEquals(Verdict.ABSTAINED, vote(1, Kind.RENEW, "a", 1).verdict());
        diskFails = false;
        double laterMs = LEASE_MS / 4;
        assertEquals(Verdict.REJECTED, vote(laterMs, Kind.REQUEST_VOTE, "b", 1).verdict());
        assertEquals(List.of(), effects.persistedTokens);
        assertEquals(Verdict.GRANTED, vote(laterMs, Kind.REQUEST_VOTE, "b", 2).verdict());
        assertEquals(List.of(2L), effects.persistedTokens);
    }

    @Test
    void aRenewalPersistsItsTokenOnlyOnce() {
        diskFails = true;
        vote(0, Kind.REQUEST_VOTE, "a", 3);
        diskFails = false;
        assertEquals(Verdict.GRANTED, vote(LEASE_MS, Kind.RENEW, "a", 3).verdict());
        assertEquals(List.of(3L), effects.persistedTokens);
        diskFails = true;
        assertEquals(Verdict.GRANTED, vote(LEASE_MS, Kind.RENEW, "a", 3).verdict());
        assertEquals(List.of(3L), effects.persistedTokens);
    }

    @Test
    void rejectsCandidatesThatCountByAnOlderSet() {
        voter.updateVoterSet(-LEASE_MS, 3, 0);
        assertEquals(Verdict.REJECTED, vote(voter, 0, Kind.PROBE, "a", 1, 2).verdict());
        assertEquals(
                Verdict.REJECTED, vote(voter, 0, Kind.REQUEST_VOTE, "a", 1, 2).verdict());
        assertEquals(Verdict.REJECTED, vote(voter, 0, Kind.RENEW, "a", 1, 2).verdict());
        assertEquals(
                Verdict.GRANTED, vote(voter, 0, Kind.REQUEST_VOTE, "a", 1, 3).verdict());
    }

    /** A renewal is granted during the backoff after a failed write only if its token is already persisted. */
    @Test
    void aRenewalWaitsForTheBackoffOnlyIfItsTokenMustBePersisted() {
        vote(0, Kind.REQUEST_VOTE, "a", 1);
        diskFails = true;
        failedAt = LEASE_MS;
        assertEquals(
                Verdict.ABSTAINED, vote(LEASE_MS, Kind.REQUEST_VOTE, "b", 2).verdict());
        double duringBackoff = LEASE_MS + LEASE_MS / 4 - 1;
        assertEquals(Verdict.ABSTAINED, vote(duringBackoff, Kind.RENEW, "b", 3).verdict());
        diskFails = false;
        assertEquals(Verdict.ABSTAINED, vote(duringBackoff, Kind.RENEW, "b", 3).verdict());
        assertEquals(List.of(1L), effects.persistedTokens);
        assertEquals(
                Verdict.GRANTED, vote(duringBackoff + 1, Kind.RENEW, "b", 3).verdict());
        assertEquals(List.of(1L, 3L), effects.persistedTokens);
        diskFails = true;
        assertEquals(
                Verdict.GRANTED, vote(duringBackoff + 2, Kind.RENEW, "b", 3).verdict());
    }
}
