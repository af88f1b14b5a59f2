package dewplank.register;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Answers to questions of an earlier life of the process that asked, late on their way: they count for nothing. */
class EarlierLivesTest {
    private static final AcceptorId A = new AcceptorId("a", "1");
    private static final AcceptorId B = new AcceptorId("b", "2");
    private static final AcceptorId C = new AcceptorId("c", "3");
    private static final AcceptorSet SET = AcceptorSet.of(List.of(A, B, C));
    private static final Change TAKING = payload -> new Decision(new byte[] {9}, "taken");
    private static final int LIVES = 200;
    private static final int PROCESS_SEED = 4711;

    /** A life begins with what the disk holds; only the random numbers differ. */
    private static Register life(DurableState disk, long seed) {
        return new Register(new Register.Settings("a", SET, 300, 20, 400, 500), disk, new SplittableRandom(seed));
    }

    private static <T extends RegisterMessage> T last(RecordedOutput out, Class<T> kind) {
        List<T> all = out.messages(kind);
        return all.get(all.size() - 1);
    }

    private static Promise promise(AcceptorId from, Ballot ballot) {
        return new Promise(from.address(), from.identity(), "1", ballot, Ballot.NONE, null);
    }

    private static Accepted accepted(AcceptorId from, Ballot ballot) {
        return new Accepted(from.address(), from.identity(), "1", ballot);
    }

    @Test
    void promisesToAnEarlierLifeLeadToNoProposal() {
        RecordedOutput earlier = new RecordedOutput();
        life(DurableState.fresh("1"), 1).change(0, 1, TAKING, 1000, earlier);
        RecordedOutput out = new RecordedOutput();
        Register present = life(DurableState.fresh("1"), 2);
        present.change(0, 1, TAKING, 1000, out);
        Ballot old = last(earlier, Prepare.class).ballot();
        Ballot own = last(out, Prepare.class).ballot();
        Assertions.assertEquals(old.round(), own.round(), "the case that could be mixed up");
        present.handleMessage(1, promise(B, old), out);
        present.handleMessage(1, promise(C, old), out);
        Assertions.assertEquals(0, out.messages(Accept.class).size());
        present.handleMessage(1, promise(B, own), out);
        present.handleMessage(1, promise(C, own), out);
        Assertions.assertEquals(3, out.messages(Accept.class).size());
    }

    @Test
    void acceptancesOfAnEarlierLifesValueConfirmNothing() {
        RecordedOutput earlier = new RecordedOutput();
        Register before = life(DurableState.fresh("1"), 1);
        before.change(0, 1, TAKING, 1000, earlier);
        Ballot old = last(earlier, Prepare.class).ballot();
        RecordedOutput out = new RecordedOutput();
        Register present = life(DurableState.fresh("1"), 2);
        present.change(0, 1, TAKING, 1000, out);
        Ballot own = last(out, Prepare.class).ballot();
        present.handleMessage(1, promise(B, own), out);
        present.handleMessage(1, promise(C, own), out);
        present.handleMessage(2, accepted(B, old), out);
        present.handleMessage(2, accepted(C, old), out);
        Assertions.assertTrue(out.completed.isEmpty());
        present.handleMessage(3, accepted(B, own), out);
        present.handleMessage(3, accepted(C, old), out);
        Assertions.assertTrue(out.completed.isEmpty(), "one of each ballot is no quorum");
        present.handleMessage(3, accepted(C, own), out);
        Assertions.assertEquals(1, out.completed.size());
    }

    /** Reports to the earlier life's question say what was newest then, not what is newest now. */
    @Test
    void reportsToAnEarlierLifesQuestionConfirmNoRead() {
        RegisterValue value = new RegisterValue(SET, 1, new byte[] {1});
        Ballot ballot = new Ballot(1, "b");
        DurableState disk = DurableState.fresh("1").accepting(ballot, value).choosing(ballot, value);
        RecordedOutput earlier = new RecordedOutput();
        life(disk, 1).read(0, 1, 1000, earlier);
        RecordedOutput out = new RecordedOutput();
        Register present = life(disk, 2);
        present.read(0, 1, 1000, out);
        long old = last(earlier, StatusQuery.class).queryId();
        long own = last(out, StatusQuery.class).queryId();
        Assertions.assertNotEquals(old, own);
        for (long question : new long[] {old, own}) {
            for (AcceptorId from : List.of(B, C)) {
                Assertions.assertTrue(out.completed.isEmpty());
                present.handleMessage(
                        1,
                        new StatusReport(from.address(), from.identity(), "1", question, ballot, null, ballot, 1, null),
                        out);
            }
        }
        Assertions.assertEquals(1, out.completed.size());
    }

    /** Names of ballots are 64 bits drawn for each life, and first questions 62: lives in a row share none. */
    @Test
    void noTwoLivesShareABallotOrAQuestion() {
        SplittableRandom seeds = new SplittableRandom(PROCESS_SEED);
        Set<Ballot> ballots = new HashSet<>();
        Set<Long> questions = new HashSet<>();
        for (int i = 0; i < LIVES; i++) {
            RecordedOutput out = new RecordedOutput();
            Register life = life(DurableState.fresh("1"), seeds.nextLong());
            life.change(0, 1, TAKING, 1000, out);
            life.tick(0, out);
            life.read(0, 2, 1000, out);
            life.read(0, 3, 1000, out);
            Assertions.assertTrue(ballots.add(last(out, Prepare.class).ballot()));
            Set<Long> own = new HashSet<>();
            out.messages(StatusQuery.class).forEach(query -> own.add(query.queryId()));
            own.forEach(question -> Assertions.assertTrue(questions.add(question), "question " + question));
        }
    }
}
