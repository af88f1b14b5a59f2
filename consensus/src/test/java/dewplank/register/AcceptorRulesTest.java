package dewplank.register;

import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests which replies an acceptor sends, and when. */
class AcceptorRulesTest {
    private static final AcceptorId SELF = RegisterBuilder.A;
    private static final AcceptorId PROPOSER = RegisterBuilder.B;
    private static final Ballot LOW = new Ballot(1, "b.1");
    private static final Ballot HIGH = new Ballot(2, "c.1");
    private static final RegisterValue VALUE = new RegisterValue(RegisterBuilder.SET, 1, new byte[] {1});

    private final RecordedEffects effects = new RecordedEffects();
    private final Register<String> register = new RegisterBuilder().build();

    private void prepare(String recipientIdentity, Ballot ballot) {
        register.handleMessage(
                0,
                new Prepare(PROPOSER.address(), PROPOSER.identity(), recipientIdentity, ballot, Ballot.NONE),
                effects);
    }

    private void prepare(Ballot ballot) {
        prepare(SELF.identity(), ballot);
    }

    private void accept(String recipientIdentity, Ballot ballot) {
        register.handleMessage(
                0, new Accept(PROPOSER.address(), PROPOSER.identity(), recipientIdentity, ballot, VALUE), effects);
    }

    private void accept(Ballot ballot) {
        accept(SELF.identity(), ballot);
    }

    private void finishStore() {
        register.handleStored(0, effects.newestStoreId(), effects);
    }

    private void failStore() {
        register.handleStoreFailed(0, effects.newestStoreId(), effects);
    }

    @Test
    void ignoresMessagesForAnotherIdentity() {
        prepare("lost", LOW);
        prepare("", LOW);
        accept("lost", LOW);
        Assertions.assertTrue(effects.sent.isEmpty());
        Assertions.assertTrue(effects.stored.isEmpty());
    }

    @Test
    void repliesOnlyAfterTheStateIsStored() {
        prepare(LOW);
        Assertions.assertTrue(effects.sent.isEmpty());
        finishStore();
        Assertions.assertEquals(1, effects.messages(Promise.class).size());
    }

    @Test
    void votesDuringAStoreAreWrittenByTheNextStore() {
        prepare(LOW);
        prepare(HIGH);
        accept(HIGH);
        Assertions.assertEquals(1, effects.stored.size());
        finishStore();
        Assertions.assertEquals(2, effects.stored.size());
        Assertions.assertEquals(1, effects.sent.size());
        finishStore();
        Assertions.assertEquals(2, effects.stored.size());
        Assertions.assertEquals(2, effects.messages(Promise.class).size());
        Assertions.assertEquals(1, effects.messages(Accepted.class).size());
    }

    @Test
    void duplicateRequestDuringAStoreWaitsForIt() {
        prepare(LOW);
        prepare(LOW);
        Assertions.assertTrue(effects.sent.isEmpty());
        finishStore();
        Assertions.assertEquals(2, effects.messages(Promise.class).size());
        Assertions.assertEquals(1, effects.stored.size());
    }

    @Test
    void failedStoreDropsItsVotesAndQueuedVotes() {
        prepare(LOW);
        accept(LOW);
        failStore();
        Assertions.assertTrue(effects.sent.isEmpty());
        accept(LOW);
        Assertions.assertTrue(effects.sent.isEmpty(), "the reply to a repeated message was sent without a store");
        Assertions.assertEquals(2, effects.stored.size());
        finishStore();
        Assertions.assertEquals(1, effects.messages(Accepted.class).size());
    }

    @Test
    void resultOfAnEarlierStoreIsIgnored() {
        prepare(LOW);
        register.handleStored(0, effects.newestStoreId() - 1, effects);
        register.handleStoreFailed(0, effects.newestStoreId() - 1, effects);
        Assertions.assertTrue(effects.sent.isEmpty());
        finishStore();
        Assertions.assertEquals(1, effects.sent.size());
    }

    @Test
    void lowerBallotIsRejected() {
        prepare(HIGH);
        finishStore();
        prepare(LOW);
        accept(LOW);
        Assertions.assertEquals(2, effects.messages(Reject.class).size());
        Assertions.assertTrue(effects.messages(Accepted.class).isEmpty());
    }

    @Test
    void chosenValueSurvivesAFailedStore() {
        accept(LOW);
        register.handleMessage(
                0, new Chosen(PROPOSER.address(), PROPOSER.identity(), SELF.identity(), LOW, 1), effects);
        failStore();
        Assertions.assertEquals(VALUE, register.chosenValue());
        Assertions.assertEquals(List.of(VALUE), effects.learned);
        register.tick(1000, effects);
        DurableState retried = effects.stored.get(effects.stored.size() - 1).state();
        Assertions.assertEquals(VALUE, retried.chosenValue());
        Assertions.assertEquals(LOW, retried.acceptedBallot());
    }

    @Test
    void statusReportContainsOnlyStoredState() {
        accept(LOW);
        register.handleMessage(
                0, new StatusQuery(PROPOSER.address(), PROPOSER.identity(), "", 7, Ballot.NONE, true), effects);
        Assertions.assertEquals(
                Ballot.NONE, effects.messages(StatusReport.class).get(0).acceptedBallot());
    }
}
