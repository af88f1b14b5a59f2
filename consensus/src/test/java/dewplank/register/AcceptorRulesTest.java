package dewplank.register;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** What an acceptor may answer, and when. */
class AcceptorRulesTest {
    private static final AcceptorSet SET = AcceptorSet.of(
            List.of(new AcceptorId("here", "me"), new AcceptorId("there", "you"), new AcceptorId("far", "she")));
    private static final Ballot LOW = new Ballot(1, "you.1");
    private static final Ballot HIGH = new Ballot(2, "she.1");
    private static final RegisterValue VALUE = new RegisterValue(SET, 1, new byte[] {1});

    private final RecordedOutput out = new RecordedOutput();
    private final Register register = new Register(
            new Register.Settings("here", SET, 300, 20, 400, 500), DurableState.fresh("me"), new SplittableRandom(1));

    private void prepare(String identity, Ballot ballot) {
        register.handleMessage(0, new Prepare("there", "you", identity, ballot, Ballot.NONE), out);
    }

    private void accept(Ballot ballot) {
        register.handleMessage(0, new Accept("there", "you", "me", ballot, VALUE), out);
    }

    @Test
    void anotherIdentityIsNeverVotedFor() {
        prepare("lost", LOW);
        prepare("", LOW);
        register.handleMessage(0, new Accept("there", "you", "lost", LOW, VALUE), out);
        Assertions.assertTrue(out.sent.isEmpty());
        Assertions.assertTrue(out.stored.isEmpty());
    }

    @Test
    void nothingIsAnsweredBeforeItIsKept() {
        prepare("me", LOW);
        Assertions.assertTrue(out.sent.isEmpty());
        register.handleStored(0, out.newestTicket(), out);
        Assertions.assertEquals(1, out.messages(Promise.class).size());
    }

    @Test
    void votesThatComeDuringAStoreGoTogetherInTheNext() {
        prepare("me", LOW);
        prepare("me", HIGH);
        accept(HIGH);
        Assertions.assertEquals(1, out.stored.size());
        register.handleStored(0, out.newestTicket(), out);
        Assertions.assertEquals(2, out.stored.size());
        Assertions.assertEquals(1, out.sent.size());
        register.handleStored(0, out.newestTicket(), out);
        Assertions.assertEquals(2, out.stored.size());
        Assertions.assertEquals(2, out.messages(Promise.class).size());
        Assertions.assertEquals(1, out.messages(Accepted.class).size());
    }

    @Test
    void aRepeatedQuestionDuringAStoreWaitsForIt() {
        prepare("me", LOW);
        prepare("me", LOW);
        Assertions.assertTrue(out.sent.isEmpty());
        register.handleStored(0, out.newestTicket(), out);
        Assertions.assertEquals(2, out.messages(Promise.class).size());
        Assertions.assertEquals(1, out.stored.size());
    }

    @Test
    void aFailedStoreDropsItsVotesAndThoseThatWaited() {
        prepare("me", LOW);
        accept(LOW);
        register.handleStoreFailed(0, out.newestTicket(), out);
        Assertions.assertTrue(out.sent.isEmpty());
        accept(LOW);
        Assertions.assertTrue(out.sent.isEmpty(), "a repeated message was answered without a store");
        Assertions.assertEquals(2, out.stored.size());
        register.handleStored(0, out.newestTicket(), out);
        Assertions.assertEquals(1, out.messages(Accepted.class).size());
    }

    @Test
    void theResultOfAnEarlierStoreCountsForNothing() {
        prepare("me", LOW);
        register.handleStored(0, out.newestTicket() - 1, out);
        register.handleStoreFailed(0, out.newestTicket() - 1, out);
        Assertions.assertTrue(out.sent.isEmpty());
        register.handleStored(0, out.newestTicket(), out);
        Assertions.assertEquals(1, out.sent.size());
    }

    @Test
    void aLowerBallotIsRefused() {
        prepare("me", HIGH);
        register.handleStored(0, out.newestTicket(), out);
        prepare("me", LOW);
        accept(LOW);
        Assertions.assertEquals(2, out.messages(Reject.class).size());
        Assertions.assertTrue(out.messages(Accepted.class).isEmpty());
    }

    @Test
    void whatIsChosenStaysKnownWhenTheDiskIsFull() {
        accept(LOW);
        register.handleMessage(0, new Chosen("there", "you", "me", LOW, 1), out);
        register.handleStoreFailed(0, out.newestTicket(), out);
        Assertions.assertEquals(VALUE, register.chosenValue());
        Assertions.assertEquals(List.of(VALUE), out.learned);
        register.tick(1000, out);
        DurableState retried = out.stored.get(out.stored.size() - 1).state();
        Assertions.assertEquals(VALUE, retried.chosenValue());
        Assertions.assertEquals(LOW, retried.acceptedBallot());
    }

    @Test
    void aReportTellsOnlyWhatIsKept() {
        accept(LOW);
        register.handleMessage(0, new StatusQuery("there", "you", "", 7, Ballot.NONE, true), out);
        Assertions.assertEquals(
                Ballot.NONE, out.messages(StatusReport.class).get(0).acceptedBallot());
    }
}
