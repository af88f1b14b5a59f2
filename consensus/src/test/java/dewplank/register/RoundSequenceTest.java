package dewplank.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests which ballots a process uses, their recipients, when it retries, and when a read needs a ballot. */
class RoundSequenceTest {
    private static final AcceptorId A = RegisterBuilder.A;
    private static final AcceptorId B = RegisterBuilder.B;
    private static final AcceptorId C = RegisterBuilder.C;
    private static final AcceptorId D = RegisterBuilder.D;
    private static final AcceptorSet SET = RegisterBuilder.SET;
    private static final double DEADLINE_MS = 1e6;
    private static final double ROUND_TIMEOUT_MS = 300;
    private static final double MAX_BACKOFF_MS = 400;
    private static final long REQUEST = 3;

    private final RecordedEffects effects = new RecordedEffects();
    private Register<String> register = new RegisterBuilder().build();

    private void recover(Ballot promised, Ballot accepted, AcceptorSet acceptedSet, Ballot chosen) {
        RegisterValue acceptedValue = accepted.isNone() ? null : new RegisterValue(acceptedSet, 2, new byte[] {2});
        RegisterValue chosenValue = chosen.isNone() ? null : new RegisterValue(SET, 1, new byte[] {1});
        register = new RegisterBuilder()
                .recovered(new DurableState(A.identity(), promised, accepted, acceptedValue, chosen, chosenValue))
                .build();
    }

    private void change(double nowMs) {
        register.change(nowMs, REQUEST, RegisterBuilder.APPLYING, DEADLINE_MS, effects);
    }

    private long nextRound() {
        change(0);
        return effects.lastMessage(Prepare.class).ballot().round();
    }

    private static Ballot ballot(long round) {
        return new Ballot(round, "x");
    }

    private Set<String> recipientsOf(Class<? extends RegisterMessage> type) {
        return effects.sent.stream()
                .filter(sent -> type.isInstance(sent.message()))
                .map(RecordedEffects.Sent::address)
                .collect(Collectors.toSet());
    }

    private void report(AcceptorId from, long queryId, Ballot accepted, Ballot chosen, RegisterValue chosenValue) {
        register.handleMessage(
                1,
                new StatusReport(
                        from.address(), from.identity(), A.identity(), queryId, accepted, null, chosen, 1, chosenValue),
                effects);
    }

    // ---- ballots --------------------------------------------------------------------------------------

    @Test
    void restartedProcessUsesAHigherRoundThanItsStoredBallots() {
        recover(ballot(7), Ballot.NONE, SET, Ballot.NONE);
        assertEquals(8, nextRound());
        recover(ballot(7), ballot(9), SET, Ballot.NONE);
        assertEquals(10, nextRound());
        recover(Ballot.NONE, Ballot.NONE, SET, ballot(11));
        assertEquals(12, nextRound());
    }

    @Test
    void nextRoundIsHigherThanAnyReceivedBallot() {
        register.handleMessage(0, new Prepare("b", "2", "1", ballot(20), Ballot.NONE), effects);
        assertEquals(21, nextRound());
        register = new RegisterBuilder().build();
        register.handleMessage(
                0, new Accept("b", "2", "1", ballot(30), new RegisterValue(SET, 1, new byte[] {1})), effects);
        assertEquals(31, nextRound());
        register = new RegisterBuilder().build();
        register.handleMessage(0, new Chosen("b", "2", "1", ballot(40), 1), effects);
        assertEquals(41, nextRound());
        register = new RegisterBuilder().build();
        report(B, 1, ballot(50), Ballot.NONE, null);
        assertEquals(51, nextRound());
    }

    @Test
    void roundIncludesTheAcceptorsOfAnUnconfirmedValue() {
        recover(Ballot.NONE, ballot(2), new AcceptorSet(1, List.of(A, B, C), List.of(A, B, D)), Ballot.NONE);
        change(0);
        assertEquals(Set.of("a", "b", "c", "d"), recipientsOf(Prepare.class));
    }

    @Test
    void chosenValueIsAnnouncedToAllOtherAcceptors() {
        change(0);
        Ballot own = effects.lastMessage(Prepare.class).ballot();
        register.handleMessage(0, RegisterBuilder.promise(B, own), effects);
        register.handleMessage(0, RegisterBuilder.promise(C, own), effects);
        register.handleMessage(0, RegisterBuilder.accepted(B, own), effects);
        register.handleMessage(0, RegisterBuilder.accepted(C, own), effects);
        assertEquals(Set.of("b", "c"), recipientsOf(Chosen.class));
        assertEquals(own, effects.lastMessage(Chosen.class).ballot());
    }

    // ---- retries --------------------------------------------------------------------------------------

    /** Attempt n times out after n times the first timeout, at most four times, and backs off for at most 400 ms. */
    @Test
    void roundsWithoutAQuorumAreRetriedAtIncreasingIntervals() {
        change(0);
        double startedAtMs = 0;
        for (int attempt = 1; attempt <= 6; attempt++) {
            int sent = effects.messages(Prepare.class).size();
            double timeoutMs = ROUND_TIMEOUT_MS * Math.min(attempt, Proposer.MAX_ROUND_TIMEOUT_FACTOR);
            register.tick(startedAtMs + timeoutMs - 1, effects);
            register.tick(startedAtMs + timeoutMs - 1 + MAX_BACKOFF_MS, effects);
            double nowMs = startedAtMs + timeoutMs + MAX_BACKOFF_MS;
            while (effects.messages(Prepare.class).size() == sent) {
                nowMs += 1;
                register.tick(nowMs, effects);
            }
            assertTrue(nowMs <= startedAtMs + timeoutMs + 2 * MAX_BACKOFF_MS + 1, "attempt " + attempt);
            startedAtMs = nowMs;
        }
        assertEquals(6 * 3 + 3, effects.messages(Prepare.class).size());
    }

    @Test
    void unconfirmedBallotIsCompletedAfterTheRoundTimeout() {
        recover(Ballot.NONE, ballot(2), SET, ballot(1));
        register.tick(0, effects);
        register.tick(ROUND_TIMEOUT_MS - 1, effects);
        assertEquals(List.of(), effects.messages(Prepare.class));
        register.tick(2 * ROUND_TIMEOUT_MS + MAX_BACKOFF_MS, effects);
        assertEquals(3, effects.messages(Prepare.class).size());
    }

    @Test
    void pendingRequestCompletesAnUnconfirmedBallot() {
        recover(Ballot.NONE, ballot(2), SET, ballot(1));
        register.tick(0, effects);
        change(1);
        assertEquals(3, effects.messages(Prepare.class).size());
        register.tick(ROUND_TIMEOUT_MS - 1, effects);
        assertEquals(3, effects.messages(Prepare.class).size());
    }

    // ---- reads ----------------------------------------------------------------------------------------

    private long startRead(double nowMs) {
        register.read(nowMs, REQUEST, DEADLINE_MS, effects);
        return effects.lastMessage(StatusQuery.class).queryId();
    }

    @Test
    void readNeedsNoBallotIfAQuorumReportsNothingNewer() {
        recover(ballot(1), ballot(1), SET, ballot(1));
        long queryId = startRead(0);
        report(B, queryId, ballot(1), ballot(1), null);
        assertEquals(List.of(), effects.completed);
        report(C, queryId, Ballot.NONE, Ballot.NONE, null);
        assertEquals(1, effects.completed.size());
        assertEquals(List.of(), effects.messages(Prepare.class));
    }

    @Test
    void readRunsABallotIfANewerBallotIsAccepted() {
        recover(ballot(1), ballot(1), SET, ballot(1));
        report(B, startRead(0), ballot(4), ballot(1), null);
        assertEquals(3, effects.messages(Prepare.class).size());
        assertEquals(List.of(), effects.completed);
    }

    @Test
    void readRunsABallotIfNoValueIsKnownToBeChosen() {
        long queryId = startRead(0);
        report(B, queryId, Ballot.NONE, Ballot.NONE, null);
        assertEquals(List.of(), effects.messages(Prepare.class));
        report(C, queryId, Ballot.NONE, Ballot.NONE, null);
        assertEquals(3, effects.messages(Prepare.class).size());
    }

    @Test
    void readRunsABallotIfNoQuorumReportsWithinTheRoundTimeout() {
        recover(ballot(1), ballot(1), SET, ballot(1));
        long queryId = startRead(0);
        register.tick(ROUND_TIMEOUT_MS - 1, effects);
        assertEquals(List.of(), effects.messages(Prepare.class));
        register.tick(ROUND_TIMEOUT_MS, effects);
        assertEquals(3, effects.messages(Prepare.class).size());
        report(B, queryId, ballot(1), ballot(1), null);
        report(C, queryId, ballot(1), ballot(1), null);
        assertEquals(List.of(), effects.completed, "the ballot now completes the read");
    }

    @Test
    void readReturnsTheValueFoundByItsBallot() {
        long queryId = startRead(0);
        report(B, queryId, Ballot.NONE, Ballot.NONE, null);
        report(C, queryId, Ballot.NONE, Ballot.NONE, null);
        Ballot own = effects.lastMessage(Prepare.class).ballot();
        RegisterValue found = new RegisterValue(SET, 5, new byte[] {5});
        register.handleMessage(1, RegisterBuilder.promise(B, own, new Ballot(1, "0"), found), effects);
        register.handleMessage(1, RegisterBuilder.promise(C, own), effects);
        register.handleMessage(1, RegisterBuilder.accepted(B, own), effects);
        assertEquals(List.of(), effects.completed);
        register.handleMessage(1, RegisterBuilder.accepted(C, own), effects);
        Outcome.Confirmed<String> outcome =
                (Outcome.Confirmed<String>) effects.completed.get(0).outcome();
        assertEquals(5, outcome.value().revision());
        assertFalse(outcome.changed());
    }

    // ---- anti-entropy ---------------------------------------------------------------------------------

    @Test
    void chosenBallotIsAnnouncedOnlyToAcceptorsThatLackIt() {
        recover(ballot(4), ballot(4), SET, ballot(4));
        register.tick(0, effects);
        long queryId = effects.lastMessage(StatusQuery.class).queryId();
        report(B, queryId, ballot(4), ballot(4), null);
        assertEquals(List.of(), effects.messages(Chosen.class));
        report(C, queryId, ballot(1), ballot(1), null);
        assertEquals(Set.of("c"), recipientsOf(Chosen.class));
        report(D, queryId, ballot(1), ballot(1), null);
        assertEquals(Set.of("c"), recipientsOf(Chosen.class), "it is not an acceptor");
    }

    /** The mean interval is 500 ms: each run starts 375 to 625 ms after the last, or immediately with a new set. */
    @Test
    void acceptorsAreQueriedPeriodicallyAndImmediatelyAfterASetChange() {
        recover(ballot(4), ballot(4), SET, ballot(4));
        register.tick(0, effects);
        assertEquals(3, effects.messages(StatusQuery.class).size());
        register.tick(374, effects);
        assertEquals(3, effects.messages(StatusQuery.class).size());
        register.tick(626, effects);
        assertEquals(6, effects.messages(StatusQuery.class).size());
        RegisterValue grown = new RegisterValue(new AcceptorSet(2, List.of(A, B, D), List.of()), 2, new byte[] {1});
        report(B, QueryIds.FETCH, ballot(6), ballot(6), grown);
        register.tick(627, effects);
        assertEquals(9, effects.messages(StatusQuery.class).size());
        assertTrue(register.isAcceptor());
    }

    @Test
    void processOutsideTheSetIsNotAnAcceptor() {
        assertTrue(register.isAcceptor());
        report(B, QueryIds.FETCH, ballot(1), ballot(1), new RegisterValue(AcceptorSet.of(List.of(B, C, D)), 1, null));
        assertFalse(register.isAcceptor());
    }
}
