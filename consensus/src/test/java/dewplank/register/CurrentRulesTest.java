package dewplank.register;

import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests when a process is current, that is, its chosen value was the newest one within a given time. */
class CurrentRulesTest {
    private static final AcceptorId A = RegisterBuilder.A;
    private static final AcceptorId B = RegisterBuilder.B;
    private static final AcceptorId C = RegisterBuilder.C;
    private static final AcceptorSet SET = RegisterBuilder.SET;
    private static final Ballot OLD = new Ballot(3, "b.1");
    private static final Ballot NEW = new Ballot(4, "c.1");
    private static final double WITHIN_MS = 1000;
    private static final double QUERIED_AT_MS = 100;

    private final RecordedEffects effects = new RecordedEffects();
    private final Register<String> register = new RegisterBuilder()
            .recovered(new DurableState("1", OLD, OLD, value(1), OLD, value(1)))
            .build();

    private static RegisterValue value(long revision) {
        return new RegisterValue(SET, revision, new byte[] {(byte) revision});
    }

    /** Delivers a report for the newest anti-entropy query. */
    private void report(AcceptorId from, Ballot acceptedBallot, Ballot chosenBallot) {
        long queryId = 0;
        for (StatusQuery query : effects.messages(StatusQuery.class)) {
            queryId = query.wantsValue() ? queryId : query.queryId();
        }
        register.handleMessage(
                QUERIED_AT_MS,
                new StatusReport(
                        from.address(),
                        from.identity(),
                        "1",
                        queryId,
                        acceptedBallot,
                        acceptedBallot.isAfter(OLD) ? SET : null,
                        chosenBallot,
                        1,
                        null),
                effects);
    }

    @Test
    void currentForTheGivenTimeAfterAQuorumReportsNoNewerBallot() {
        register.tick(QUERIED_AT_MS, effects);
        report(A, OLD, OLD);
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS, WITHIN_MS), "one of three is not a quorum");
        report(B, OLD, Ballot.NONE);
        Assertions.assertTrue(register.isCurrent(QUERIED_AT_MS, WITHIN_MS));
        Assertions.assertTrue(register.isCurrent(QUERIED_AT_MS + WITHIN_MS, WITHIN_MS));
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS + WITHIN_MS + 1, WITHIN_MS));
    }

    @Test
    void notCurrentBeforeCatchUpDespiteAQuorum() {
        register.tick(QUERIED_AT_MS, effects);
        report(B, NEW, NEW);
        report(C, NEW, NEW);
        Assertions.assertEquals(QUERIED_AT_MS, register.lastQuorumAtMs());
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS, WITHIN_MS));
        register.handleMessage(
                QUERIED_AT_MS, new StatusReport("b", "2", "1", QueryIds.FETCH, NEW, null, NEW, 2, value(2)), effects);
        Assertions.assertTrue(register.isCurrent(QUERIED_AT_MS, WITHIN_MS), "it has caught up");
    }

    @Test
    void notCurrentAfterAnUnconfirmedAcceptance() {
        register.tick(QUERIED_AT_MS, effects);
        report(A, OLD, OLD);
        report(B, NEW, OLD);
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS, WITHIN_MS));
    }

    @Test
    void notCurrentAfterALateReportOfANewerBallot() {
        register.tick(QUERIED_AT_MS, effects);
        report(A, OLD, OLD);
        report(B, OLD, OLD);
        Assertions.assertTrue(register.isCurrent(QUERIED_AT_MS, WITHIN_MS));
        report(C, NEW, OLD);
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS, WITHIN_MS));
    }

    @Test
    void newerBallotOfOneRunDoesNotAffectTheNext() {
        register.tick(QUERIED_AT_MS, effects);
        report(A, OLD, OLD);
        report(B, NEW, OLD);
        double nextRunAtMs = QUERIED_AT_MS + 1000;
        register.tick(nextRunAtMs, effects);
        Assertions.assertFalse(register.isCurrent(nextRunAtMs, 2 * WITHIN_MS));
        report(A, OLD, OLD);
        report(C, OLD, OLD);
        Assertions.assertTrue(register.isCurrent(nextRunAtMs, WITHIN_MS));
    }

    @Test
    void reportOfAWipedDiskDoesNotCount() {
        register.tick(QUERIED_AT_MS, effects);
        report(A, OLD, OLD);
        report(new AcceptorId("b", "wiped"), Ballot.NONE, Ballot.NONE);
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS, WITHIN_MS));
    }

    @Test
    void currentFromTheStartOfTheAcceptPhaseThatChoseAValue() {
        register.change(
                QUERIED_AT_MS,
                1,
                payload -> new Decision<>(new byte[] {2}, "applied"),
                QUERIED_AT_MS + WITHIN_MS,
                effects);
        Ballot ballot = effects.messages(Prepare.class).get(0).ballot();
        for (AcceptorId from : List.of(B, C)) {
            register.handleMessage(QUERIED_AT_MS + 5, RegisterBuilder.promise(from, ballot, OLD, null), effects);
        }
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS + 5, WITHIN_MS));
        for (AcceptorId from : List.of(B, C)) {
            register.handleMessage(QUERIED_AT_MS + 9, RegisterBuilder.accepted(from, ballot), effects);
        }
        Assertions.assertTrue(register.isCurrent(QUERIED_AT_MS + 5 + WITHIN_MS, WITHIN_MS));
        Assertions.assertFalse(register.isCurrent(QUERIED_AT_MS + 6 + WITHIN_MS, WITHIN_MS));
    }
}
