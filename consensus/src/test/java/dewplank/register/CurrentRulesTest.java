package dewplank.register;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** When a process may say that the value it knows was the newest a moment ago. */
class CurrentRulesTest {
    private static final AcceptorId A = new AcceptorId("a", "1");
    private static final AcceptorId B = new AcceptorId("b", "2");
    private static final AcceptorId C = new AcceptorId("c", "3");
    private static final AcceptorSet SET = AcceptorSet.of(List.of(A, B, C));
    private static final Ballot OLD = new Ballot(3, "b.1");
    private static final Ballot NEW = new Ballot(4, "c.1");
    private static final double WITHIN = 1000;
    private static final double ASKED = 100;

    private final RecordedOutput out = new RecordedOutput();
    private final Register register = new Register(
            new Register.Settings("a", SET, 300, 20, 400, 500),
            new DurableState("1", OLD, OLD, value(1), OLD, value(1)),
            new SplittableRandom(1));

    private static RegisterValue value(long revision) {
        return new RegisterValue(SET, revision, new byte[] {(byte) revision});
    }

    /** Answers the newest sweep. */
    private void report(AcceptorId from, Ballot accepted, Ballot chosen) {
        List<StatusQuery> asked = out.messages(StatusQuery.class);
        long question = 0;
        for (StatusQuery query : asked) {
            question = query.wantsValue() ? question : query.queryId();
        }
        register.handleMessage(
                ASKED,
                new StatusReport(
                        from.address(),
                        from.identity(),
                        "1",
                        question,
                        accepted,
                        accepted.isAfter(OLD) ? SET : null,
                        chosen,
                        1,
                        null),
                out);
    }

    @Test
    void aQuorumWithNothingNewerMakesItCurrentForSoLong() {
        register.tick(ASKED, out);
        report(A, OLD, OLD);
        Assertions.assertFalse(register.isCurrent(ASKED, WITHIN), "one of three is no quorum");
        report(B, OLD, Ballot.NONE);
        Assertions.assertTrue(register.isCurrent(ASKED, WITHIN));
        Assertions.assertTrue(register.isCurrent(ASKED + WITHIN, WITHIN));
        Assertions.assertFalse(register.isCurrent(ASKED + WITHIN + 1, WITHIN));
    }

    @Test
    void whoHearsAQuorumButHasNotCaughtUpIsNotCurrent() {
        register.tick(ASKED, out);
        report(B, NEW, NEW);
        report(C, NEW, NEW);
        Assertions.assertEquals(ASKED, register.lastQuorumAtMs());
        Assertions.assertFalse(register.isCurrent(ASKED, WITHIN));
        register.handleMessage(
                ASKED, new StatusReport("b", "2", "1", RequestIds.FETCH, NEW, null, NEW, 2, value(2)), out);
        Assertions.assertTrue(register.isCurrent(ASKED, WITHIN), "it has caught up");
    }

    @Test
    void anAcceptanceThatIsNotKnownToBeChosenEndsIt() {
        register.tick(ASKED, out);
        report(A, OLD, OLD);
        report(B, NEW, OLD);
        Assertions.assertFalse(register.isCurrent(ASKED, WITHIN));
    }

    @Test
    void aLateAnswerWithNewsEndsIt() {
        register.tick(ASKED, out);
        report(A, OLD, OLD);
        report(B, OLD, OLD);
        Assertions.assertTrue(register.isCurrent(ASKED, WITHIN));
        report(C, NEW, OLD);
        Assertions.assertFalse(register.isCurrent(ASKED, WITHIN));
    }

    @Test
    void newsOfAnEarlierSweepDoesNotStickToTheNext() {
        register.tick(ASKED, out);
        report(A, OLD, OLD);
        report(B, NEW, OLD);
        double next = ASKED + 1000;
        register.tick(next, out);
        Assertions.assertFalse(register.isCurrent(next, 2 * WITHIN));
        report(A, OLD, OLD);
        report(C, OLD, OLD);
        Assertions.assertTrue(register.isCurrent(next, WITHIN));
    }

    @Test
    void anAnswerFromALostDiskDoesNotCount() {
        register.tick(ASKED, out);
        report(A, OLD, OLD);
        report(new AcceptorId("b", "wiped"), Ballot.NONE, Ballot.NONE);
        Assertions.assertFalse(register.isCurrent(ASKED, WITHIN));
    }

    @Test
    void anOwnChosenRoundCountsFromItsSecondRound() {
        register.change(ASKED, 1, payload -> new Decision(new byte[] {2}, "taken"), ASKED + WITHIN, out);
        Ballot ballot = out.messages(Prepare.class).get(0).ballot();
        for (AcceptorId from : List.of(B, C)) {
            register.handleMessage(
                    ASKED + 5, new Promise(from.address(), from.identity(), "1", ballot, OLD, null), out);
        }
        Assertions.assertFalse(register.isCurrent(ASKED + 5, WITHIN));
        for (AcceptorId from : List.of(B, C)) {
            register.handleMessage(ASKED + 9, new Accepted(from.address(), from.identity(), "1", ballot), out);
        }
        Assertions.assertTrue(register.isCurrent(ASKED + 5 + WITHIN, WITHIN));
        Assertions.assertFalse(register.isCurrent(ASKED + 6 + WITHIN, WITHIN));
    }
}
