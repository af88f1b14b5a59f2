package dewplank.register;

import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests how a process without initial acceptors learns the newest value. */
class JoiningProcessTest {
    private static final AcceptorId OLD = RegisterBuilder.A;
    private static final AcceptorId JOINING = new AcceptorId("n", "9");
    private static final AcceptorSet SET = AcceptorSet.of(List.of(OLD));
    private static final AcceptorSet UNKNOWN = AcceptorSet.of(List.of());
    private static final Ballot BALLOT = new Ballot(3, "1.x");
    private static final RegisterValue VALUE = new RegisterValue(SET, 4, new byte[] {7});

    private final RecordedEffects oldEffects = new RecordedEffects();
    private final RecordedEffects joiningEffects = new RecordedEffects();
    private final Register<String> old = new RegisterBuilder()
            .initialAcceptors(SET)
            .recovered(new DurableState(OLD.identity(), BALLOT, BALLOT, VALUE, BALLOT, VALUE))
            .build();
    private final Register<String> joining =
            new RegisterBuilder().self(JOINING).initialAcceptors(UNKNOWN).build();

    private static RegisterMessage last(RecordedEffects effects) {
        return effects.sent.get(effects.sent.size() - 1).message();
    }

    /**
     * The report to the joining process is lost because there is no connection to it yet, and its anti-entropy has no
     * acceptors to query. The query of a process that has the value therefore triggers a fetch.
     */
    @Test
    void queryFromANewerProcessTriggersAFetch() {
        old.queryStatus(0, JOINING.address(), oldEffects);
        joining.handleMessage(1, last(oldEffects), joiningEffects);
        StatusQuery fetch = joiningEffects.messages(StatusQuery.class).get(0);
        Assertions.assertTrue(fetch.wantsValue());
        old.handleMessage(2, fetch, oldEffects);
        joining.handleMessage(3, last(oldEffects), joiningEffects);
        Assertions.assertEquals(VALUE, joining.chosenValue());
        Assertions.assertEquals(SET, joining.acceptors());
    }

    @Test
    void queryFromAnEquallyNewProcessTriggersNoFetch() {
        old.handleMessage(0, new StatusQuery("n", "9", RegisterMessage.ANY_IDENTITY, 1, BALLOT, true), oldEffects);
        Assertions.assertTrue(oldEffects.messages(StatusQuery.class).isEmpty());
    }
}
