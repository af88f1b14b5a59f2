package dewplank.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Founders without a disk that end: who is known to have ended, and which rounds leave them out. Process A has a disk
 * and is no member of the first set, X and Y.
 */
class EndedAcceptorsTest {
    private static final AcceptorId A = RegisterBuilder.A;
    private static final AcceptorId X = incarnation("x", 1);
    private static final AcceptorId X_NEXT = incarnation("x", 2);
    private static final AcceptorId Y = incarnation("y", 1);
    private static final AcceptorId Y_NEXT = incarnation("y", 2);
    private static final AcceptorSet FOUNDERS = AcceptorSet.of(List.of(X, Y));
    private static final double DEADLINE_MS = 100_000;
    private static final long REQUEST = 7;

    private final RecordedEffects effects = new RecordedEffects();
    private final Register<String> register =
            new RegisterBuilder().initialAcceptors(FOUNDERS).build();

    private static AcceptorId incarnation(String address, int number) {
        return new AcceptorId(address, AcceptorId.volatileIdentity(address, String.valueOf(number)));
    }

    private long queryIdAt(double nowMs) {
        register.tick(nowMs, effects);
        return effects.lastMessage(StatusQuery.class).queryId();
    }

    private void report(double nowMs, AcceptorId from, long queryId) {
        StatusReport report = new StatusReport(
                from.address(), from.identity(), A.identity(), queryId, Ballot.NONE, null, Ballot.NONE, 0, null);
        register.handleMessage(nowMs, report, effects);
    }

    private void endAt(double nowMs, AcceptorId... successors) {
        long queryId = queryIdAt(nowMs);
        for (AcceptorId successor : successors) {
            report(nowMs, successor, queryId);
        }
    }

    private Ballot change(double nowMs) {
        register.change(nowMs, REQUEST, RegisterBuilder.APPLYING, DEADLINE_MS, effects);
        return effects.lastMessage(Prepare.class).ballot();
    }

    private void promise(double nowMs, AcceptorId from, Ballot ballot) {
        register.handleMessage(nowMs, RegisterBuilder.promise(from, ballot), effects);
    }

    private void accept(double nowMs, AcceptorId from, Ballot ballot) {
        register.handleMessage(nowMs, RegisterBuilder.accepted(from, ballot), effects);
    }

    @Test
    void anAnswerUnderAnotherIdentityShowsThatTheAcceptorHasEnded() {
        long queryId = queryIdAt(0);
        report(0, Y, queryId);
        assertEquals(Set.of(), register.endedAcceptors());
        report(0, X_NEXT, queryId);
        assertEquals(Set.of(X), register.endedAcceptors());
    }

    /** An answer to an earlier query may have been sent before the acceptor was known. */
    @Test
    void anAnswerToAnEarlierQueryShowsNothing() {
        long earlier = queryIdAt(0);
        queryIdAt(10_000);
        report(10_000, X_NEXT, earlier);
        assertEquals(Set.of(), register.endedAcceptors());
    }

    /** A disk that was emptied may come back in another process; only a reconfiguration removes its acceptor. */
    @Test
    void anAcceptorWithADiskIsNeverTakenToHaveEnded() {
        AcceptorId durable = new AcceptorId("x", "disk");
        register.updateInitialAcceptors(AcceptorSet.of(List.of(durable, Y)));
        endAt(0, X_NEXT);
        assertEquals(Set.of(), register.endedAcceptors());
    }

    @Test
    void aRoundThatBeginsLaterLeavesThemOut() {
        endAt(0, X_NEXT);
        Ballot ballot = change(1);
        promise(1, Y, ballot);
        accept(1, Y, ballot);
        assertInstanceOf(Outcome.Confirmed.class, effects.completed.get(0).outcome());
    }

    /** With what is known when the votes are counted, two rounds could each leave out the other's only voter. */
    @Test
    void aRoundThatBeganBeforeWaitsForThem() {
        Ballot ballot = change(0);
        endAt(1, X_NEXT);
        promise(2, Y, ballot);
        assertEquals(List.of(), effects.messages(Accept.class));
        promise(3, X, ballot);
        assertEquals(2, effects.messages(Accept.class).size());
        accept(4, Y, ballot);
        assertEquals(List.of(), effects.completed);
        accept(5, X, ballot);
        assertEquals(1, effects.completed.size());
    }

    /** A process that was suspended must not count what it finds in its buffers: the fleet may have gone on. */
    @Test
    void votesAfterTheTimeoutOfARoundDoNotCount() {
        Ballot ballot = change(0);
        promise(0, X, ballot);
        promise(300, Y, ballot);
        assertEquals(List.of(), effects.messages(Accept.class));
        promise(299, Y, ballot);
        accept(300, X, ballot);
        accept(599, Y, ballot);
        assertEquals(List.of(), effects.completed);
        accept(598, Y, ballot);
        assertEquals(1, effects.completed.size());
    }

    @Test
    void aReadLeavesThemOutToo() {
        endAt(0, X_NEXT);
        Ballot ballot = change(1);
        promise(1, Y, ballot);
        accept(1, Y, ballot);
        register.read(2, REQUEST + 1, DEADLINE_MS, effects);
        long queryId = effects.lastMessage(StatusQuery.class).queryId();
        report(2, Y, queryId);
        assertEquals(REQUEST + 1, effects.completed.get(1).requestId());
    }

    @Test
    void allFoundersHaveEndedOnlyWhereNoneIsLeft() {
        assertFalse(register.areInitialAcceptorsEnded());
        endAt(0, X_NEXT);
        assertFalse(register.areInitialAcceptorsEnded());
        endAt(10_000, Y_NEXT);
        assertTrue(register.areInitialAcceptorsEnded());
        Ballot ballot = change(10_001);
        promise(10_001, X, ballot);
        promise(10_001, Y, ballot);
        assertEquals(List.of(), effects.messages(Accept.class), "nothing can be chosen by them any more");
    }

    @Test
    void successorsDecideOnceTheyAreTheInitialAcceptors() {
        endAt(0, X_NEXT, Y_NEXT);
        AcceptorSet next = new AcceptorSet(2, List.of(X_NEXT, Y_NEXT), List.of());
        register.updateInitialAcceptors(next);
        assertFalse(register.areInitialAcceptorsEnded());
        assertEquals(next, register.acceptors());
        Ballot ballot = change(1);
        promise(1, X_NEXT, ballot);
        promise(1, Y_NEXT, ballot);
        accept(1, X_NEXT, ballot);
        accept(1, Y_NEXT, ballot);
        assertEquals(1, effects.completed.size());
        assertEquals(2, register.chosenValue().acceptors().generation());
    }

    @Test
    void initialAcceptorsAreOfNoEffectOnceAValueIsChosen() {
        Ballot ballot = change(0);
        promise(0, X, ballot);
        promise(0, Y, ballot);
        accept(0, X, ballot);
        accept(0, Y, ballot);
        register.updateInitialAcceptors(AcceptorSet.of(List.of(X_NEXT, Y_NEXT)));
        assertEquals(FOUNDERS, register.acceptors());
        endAt(1, X_NEXT, Y_NEXT);
        assertEquals(Set.of(X, Y), register.endedAcceptors());
        assertFalse(register.areInitialAcceptorsEnded(), "a value is chosen");
    }

    @Test
    void moreRequestsThanTheBoundAreNotAdmitted() {
        for (int request = 0; request < Register.MAX_PENDING_REQUESTS; request++) {
            register.change(0, request, RegisterBuilder.APPLYING, DEADLINE_MS, effects);
        }
        assertEquals(List.of(), effects.completed);
        register.read(0, REQUEST, DEADLINE_MS, effects);
        assertInstanceOf(Outcome.Unknown.class, effects.completed.get(0).outcome());
    }

    @Test
    void moreRepairsThanTheBoundAreNotAdmittedNorIsAnEmptyTarget() {
        register.reconfigure(0, REQUEST, 0, List.of(), DEADLINE_MS, effects);
        assertEquals(
                Outcome.Unknown.noTargetAcceptors(), effects.completed.get(0).outcome());
        for (int repair = 0; repair < Register.MAX_PENDING_REPAIRS; repair++) {
            register.reconfigure(0, repair, 0, List.of(A), DEADLINE_MS, effects);
        }
        assertEquals(1, effects.completed.size());
        register.reconfigure(0, REQUEST, 0, List.of(A), DEADLINE_MS, effects);
        assertEquals(Outcome.Unknown.tooManyRequests(), effects.completed.get(1).outcome());
    }
}
