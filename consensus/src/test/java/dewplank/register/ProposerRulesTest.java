package dewplank.register;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** What a proposer may confirm, and what it may propose. */
class ProposerRulesTest {
    private static final AcceptorId A = new AcceptorId("a", "1");
    private static final AcceptorId B = new AcceptorId("b", "2");
    private static final AcceptorId C = new AcceptorId("c", "3");
    private static final AcceptorId D = new AcceptorId("d", "4");
    private static final AcceptorSet SET = AcceptorSet.of(List.of(A, B, C));
    private static final Change REFUSING = payload -> new Decision(null, "refused");
    private static final Change TAKING = payload -> new Decision(new byte[] {9}, "taken");

    private final RecordedOutput out = new RecordedOutput();
    private final Register register = process(1);

    private static Register process(long seed) {
        return new Register(
                new Register.Settings("a", SET, 300, 20, 400, 500),
                DurableState.fresh("1"),
                new SplittableRandom(seed));
    }

    private void promise(AcceptorId from, Ballot accepted, RegisterValue value) {
        Ballot ballot = out.messages(Prepare.class)
                .get(out.messages(Prepare.class).size() - 1)
                .ballot();
        register.handleMessage(1, new Promise(from.address(), from.identity(), "1", ballot, accepted, value), out);
    }

    private void accepted(AcceptorId from) {
        Ballot ballot = out.messages(Accept.class)
                .get(out.messages(Accept.class).size() - 1)
                .ballot();
        register.handleMessage(2, new Accepted(from.address(), from.identity(), "1", ballot), out);
    }

    @Test
    void aRefusalWaitsForTheSecondRound() {
        register.change(0, 1, REFUSING, 1000, out);
        promise(B, Ballot.NONE, null);
        promise(C, Ballot.NONE, null);
        Assertions.assertEquals(3, out.messages(Accept.class).size());
        accepted(B);
        Assertions.assertTrue(out.completed.isEmpty());
        accepted(B);
        Assertions.assertTrue(out.completed.isEmpty(), "one acceptor counted twice");
        accepted(C);
        Outcome.Confirmed outcome = (Outcome.Confirmed) out.completed.get(0).outcome();
        Assertions.assertEquals("refused", outcome.answer());
        Assertions.assertFalse(outcome.changed());
    }

    @Test
    void aValueAcceptedByOneIsBuiltOn() {
        RegisterValue met = new RegisterValue(SET, 4, new byte[] {4});
        register.change(0, 1, TAKING, 1000, out);
        promise(B, new Ballot(1, "x"), met);
        promise(C, Ballot.NONE, null);
        Assertions.assertEquals(5, out.messages(Accept.class).get(0).value().revision());
    }

    @Test
    void aNewDiskAtAMembersAddressIsNotCounted() {
        register.change(0, 1, TAKING, 1000, out);
        promise(new AcceptorId("b", "wiped"), Ballot.NONE, null);
        promise(new AcceptorId("c", "wiped too"), Ballot.NONE, null);
        promise(A, Ballot.NONE, null);
        Assertions.assertTrue(out.messages(Accept.class).isEmpty());
    }

    @Test
    void aNewerSetMetInAPromiseDecides() {
        AcceptorSet joint = new AcceptorSet(1, SET.members(), List.of(C, D));
        register.change(0, 1, TAKING, 1000, out);
        promise(B, new Ballot(1, "x"), new RegisterValue(joint, 1, null));
        promise(C, Ballot.NONE, null);
        Assertions.assertTrue(out.messages(Accept.class).isEmpty(), "the joining majority was not asked");
        Assertions.assertEquals("4", out.messages(Prepare.class).get(3).recipientIdentity());
        promise(D, Ballot.NONE, null);
        Assertions.assertEquals(4, out.messages(Accept.class).size());
    }

    @Test
    void theSecondStepWaitsUntilTheJointSetIsChosen() {
        RegisterValue joint = new RegisterValue(new AcceptorSet(1, SET.members(), List.of(C, D)), 1, null);
        Assertions.assertEquals(Proposal.unchanged(joint), CompletionTask.completeTransition(joint, null));
        RegisterValue other = new RegisterValue(new AcceptorSet(1, SET.members(), List.of(B, D)), 1, null);
        Assertions.assertEquals(Proposal.unchanged(joint), CompletionTask.completeTransition(joint, other));
        AcceptorSet settled =
                CompletionTask.completeTransition(joint, joint).value().acceptors();
        Assertions.assertEquals(new AcceptorSet(2, List.of(C, D), List.of()), settled);
    }

    @Test
    void laterQuestionsOfARoundNameTheValueItBeganWith() {
        AcceptorSet joint = new AcceptorSet(1, SET.members(), List.of(C, D));
        RegisterValue learned = new RegisterValue(SET, 1, new byte[] {1});
        register.change(0, 1, TAKING, 1000, out);
        register.handleMessage(
                1, new StatusReport("c", "3", "1", 0, Ballot.NONE, null, new Ballot(1, "x"), 1, learned), out);
        promise(B, new Ballot(1, "y"), new RegisterValue(joint, 1, null));
        Prepare later = out.messages(Prepare.class).get(3);
        Assertions.assertEquals("4", later.recipientIdentity());
        Assertions.assertEquals(Ballot.NONE, later.chosenBallot());
    }

    @Test
    void twoLivesNeverUseOneBallot() {
        RecordedOutput again = new RecordedOutput();
        register.change(0, 1, TAKING, 1000, out);
        process(2).change(0, 1, TAKING, 1000, again);
        Assertions.assertNotEquals(
                out.messages(Prepare.class).get(0).ballot(),
                again.messages(Prepare.class).get(0).ballot());
    }

    @Test
    void aLateRequestEndsUnknown() {
        register.change(0, 1, TAKING, 1000, out);
        register.tick(999, out);
        Assertions.assertTrue(out.completed.isEmpty());
        register.tick(1000, out);
        Assertions.assertInstanceOf(Outcome.Unknown.class, out.completed.get(0).outcome());
    }

    @Test
    void tooManyRequestsEndUnknownAtOnce() {
        for (int request = 0; request <= Register.MAX_PENDING_REQUESTS; request++) {
            register.change(0, request, TAKING, 1000, out);
        }
        Assertions.assertEquals(1, out.completed.size());
        Assertions.assertEquals(
                Register.MAX_PENDING_REQUESTS, out.completed.get(0).request());
    }

    @Test
    void aRefusedRoundIsTriedAgainAbove() {
        register.change(0, 1, TAKING, 1000, out);
        Ballot first = out.messages(Prepare.class).get(0).ballot();
        Ballot other = new Ballot(41, "x");
        register.handleMessage(1, new Reject("b", "2", "1", first, other), out);
        register.handleMessage(1, new Reject("c", "3", "1", first, other), out);
        register.tick(500, out);
        Assertions.assertEquals(42, out.messages(Prepare.class).get(3).ballot().round());
    }

    @Property(tries = 500)
    void quorumsOfNeighbouringSetsMeet(
            @ForAll @IntRange(min = 0, max = 255) int first, @ForAll @IntRange(min = 0, max = 255) int second) {
        AcceptorSet joint = new AcceptorSet(1, List.of(A, B, C), List.of(B, C, D));
        AcceptorSet settled = joint.completeTransition();
        Set<AcceptorId> one = chosenBy(first);
        Set<AcceptorId> two = chosenBy(second);
        if (joint.isQuorum(one) && (settled.isQuorum(two) || SET.isQuorum(two))) {
            one.retainAll(two);
            Assertions.assertFalse(one.isEmpty());
        }
    }

    private static Set<AcceptorId> chosenBy(int bits) {
        Set<AcceptorId> chosen = new HashSet<>();
        List<AcceptorId> all = List.of(A, B, C, D);
        for (int index = 0; index < all.size(); index++) {
            if ((bits >> index & 1) != 0) {
                chosen.add(all.get(index));
            }
        }
        return chosen;
    }
}
