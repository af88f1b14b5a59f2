package dewplank.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests which volatile acceptors are known to have ended, and which rounds exclude them. Process A has a disk and is
 * not a member of the first set, which consists of X and Y.
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

    private long startQueryAt(double nowMs) {
        register.tick(nowMs, effects);
        return effects.lastMessage(StatusQuery.class).queryId();
    }

    private void report(double nowMs, AcceptorId from, long queryId) {
        StatusReport report = new StatusReport(
                from.address(), from.identity(), A.identity(), queryId, Ballot.NONE, null, Ballot.NONE, 0, null);
        register.handleMessage(nowMs, report, effects);
    }

    private void startQueryAndReport(double nowMs, AcceptorId... successors) {
        long queryId = startQueryAt(nowMs);
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
    void reportWithAnotherIdentityMarksTheAcceptorAsEnded() {
        long queryId = startQueryAt(0);
        report(0, Y, queryId);
        assertEquals(Set.of(), register.endedAcceptors());
        report(0, X_NEXT, queryId);
        assertEquals(Set.of(X), register.endedAcceptors());
    }

    /** A report to an earlier query may have been sent before the acceptor was known. */
    @Test
    void reportToAnEarlierQueryDoesNotMarkTheAcceptor() {
        long earlier = startQueryAt(0);
        startQueryAt(10_000);
        report(10_000, X_NEXT, earlier);
        assertEquals(Set.of(), register.endedAcceptors());
    }

    /** An acceptor with a disk may return in another process, so only a reconfiguration removes it. */
    @Test
    void acceptorWithADiskIsNeverMarkedAsEnded() {
        AcceptorId durable = new AcceptorId("x", "disk");
        register.updateInitialAcceptors(AcceptorSet.of(List.of(durable, Y)));
        startQueryAndReport(0, X_NEXT);
        assertEquals(Set.of(), register.endedAcceptors());
    }

    @Test
    void laterRoundExcludesEndedAcceptors() {
        startQueryAndReport(0, X_NEXT);
        Ballot ballot = change(1);
        promise(1, Y, ballot);
        accept(1, Y, ballot);
        assertInstanceOf(Outcome.Confirmed.class, effects.completed.get(0).outcome());
    }

    /**
     * If a round excluded acceptors that are found to have ended after its start, two rounds could each exclude the
     * only voter of the other.
     */
    @Test
    void roundInProgressStillNeedsEndedAcceptors() {
        Ballot ballot = change(0);
        startQueryAndReport(1, X_NEXT);
        promise(2, Y, ballot);
        assertEquals(List.of(), effects.messages(Accept.class));
        promise(3, X, ballot);
        assertEquals(2, effects.messages(Accept.class).size());
        accept(4, Y, ballot);
        assertEquals(List.of(), effects.completed);
        accept(5, X, ballot);
        assertEquals(1, effects.completed.size());
    }

    /** A process that was suspended must not count buffered votes, because the fleet may have made progress since. */
    @Test
    void votesAfterTheRoundTimeoutAreNotCounted() {
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
    void readExcludesEndedAcceptors() {
        startQueryAndReport(0, X_NEXT);
        Ballot ballot = change(1);
        promise(1, Y, ballot);
        accept(1, Y, ballot);
        register.read(2, REQUEST + 1, DEADLINE_MS, effects);
        long queryId = effects.lastMessage(StatusQuery.class).queryId();
        report(2, Y, queryId);
        assertEquals(REQUEST + 1, effects.completed.get(1).requestId());
    }

    @Test
    void initialAcceptorsAreEndedOnlyIfAllHaveEnded() {
        assertFalse(register.areInitialAcceptorsEnded());
        startQueryAndReport(0, X_NEXT);
        assertFalse(register.areInitialAcceptorsEnded());
        startQueryAndReport(10_000, Y_NEXT);
        assertTrue(register.areInitialAcceptorsEnded());
        Ballot ballot = change(10_001);
        promise(10_001, X, ballot);
        promise(10_001, Y, ballot);
        assertEquals(List.of(), effects.messages(Accept.class), "they cannot choose a value any more");
    }

    @Test
    void successorsFormAQuorumAfterReplacingTheInitialAcceptors() {
        startQueryAndReport(0, X_NEXT, Y_NEXT);
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
    void initialAcceptorsHaveNoEffectAfterAValueIsChosen() {
        Ballot ballot = change(0);
        promise(0, X, ballot);
        promise(0, Y, ballot);
        accept(0, X, ballot);
        accept(0, Y, ballot);
        register.updateInitialAcceptors(AcceptorSet.of(List.of(X_NEXT, Y_NEXT)));
        assertEquals(FOUNDERS, register.acceptors());
        startQueryAndReport(1, X_NEXT, Y_NEXT);
        assertEquals(Set.of(X, Y), register.endedAcceptors());
        assertFalse(register.areInitialAcceptorsEnded(), "a value is chosen");
    }

    @Test
    void requestsBeyondTheLimitAreNotAdmitted() {
        for (int request = 0; request < Register.MAX_PENDING_REQUESTS; request++) {
            register.change(0, request, RegisterBuilder.APPLYING, DEADLINE_MS, effects);
        }
        assertEquals(List.of(), effects.completed);
        register.read(0, REQUEST, DEADLINE_MS, effects);
        assertInstanceOf(Outcome.Unknown.class, effects.completed.get(0).outcome());
    }

    @Test
    void repairsBeyondTheLimitAndEmptyTargetsAreNotAdmitted() {
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
