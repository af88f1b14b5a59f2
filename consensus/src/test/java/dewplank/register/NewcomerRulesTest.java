package dewplank.register;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** How a process that knows no acceptors comes to know the newest value. */
class NewcomerRulesTest {
    private static final AcceptorId OLD = new AcceptorId("a", "1");
    private static final AcceptorId NEWCOMER = new AcceptorId("n", "9");
    private static final AcceptorSet SET = AcceptorSet.of(List.of(OLD));
    private static final AcceptorSet UNKNOWN = AcceptorSet.of(List.of());
    private static final Ballot BALLOT = new Ballot(3, "1.x");
    private static final RegisterValue VALUE = new RegisterValue(SET, 4, new byte[] {7});

    private final RecordedOutput olds = new RecordedOutput();
    private final RecordedOutput newcomers = new RecordedOutput();
    private final Register old = register(OLD, SET, new DurableState("1", BALLOT, BALLOT, VALUE, BALLOT, VALUE));
    private final Register newcomer = register(NEWCOMER, UNKNOWN, DurableState.fresh("9"));

    private static Register register(AcceptorId self, AcceptorSet initial, DurableState recovered) {
        return new Register(
                new Register.Settings(self.address(), initial, 300, 20, 400, 500), recovered, new SplittableRandom(1));
    }

    private static RegisterMessage last(RecordedOutput out) {
        return out.sent.get(out.sent.size() - 1).message();
    }

    /**
     * The newcomer's question was answered before there was a way to it, and it has no acceptors to sweep: the question
     * of one that knows more has to do.
     */
    @Test
    void whoIsAskedByOneThatKnowsMoreFetchesIt() {
        old.queryStatus(0, NEWCOMER.address(), olds);
        newcomer.handleMessage(1, last(olds), newcomers);
        StatusQuery fetch = newcomers.messages(StatusQuery.class).get(0);
        Assertions.assertTrue(fetch.wantsValue());
        old.handleMessage(2, fetch, olds);
        newcomer.handleMessage(3, last(olds), newcomers);
        Assertions.assertEquals(VALUE, newcomer.chosenValue());
        Assertions.assertEquals(SET, newcomer.acceptors());
    }

    @Test
    void whoKnowsAsMuchFetchesNothing() {
        old.handleMessage(0, new StatusQuery("n", "9", RegisterMessage.ANY_IDENTITY, 1, BALLOT, true), olds);
        Assertions.assertTrue(olds.messages(StatusQuery.class).isEmpty());
    }
}
