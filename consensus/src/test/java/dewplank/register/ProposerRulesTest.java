package dewplank.register;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests which values a proposer proposes and which outcomes it confirms. */
class ProposerRulesTest {
    private static final AcceptorId A = RegisterBuilder.A;
    private static final AcceptorId B = RegisterBuilder.B;
    private static final AcceptorId C = RegisterBuilder.C;
    private static final AcceptorId D = RegisterBuilder.D;
    private static final AcceptorSet SET = RegisterBuilder.SET;
    private static final Change<String> REJECTING = payload -> new Decision<>(null, "rejected");
    private static final Change<String> APPLYING = RegisterBuilder.APPLYING;

    private final RecordedEffects effects = new RecordedEffects();
    private final Register<String> register = new RegisterBuilder().build();

    private void promise(AcceptorId from, Ballot acceptedBallot, RegisterValue acceptedValue) {
        Ballot ballot = effects.lastMessage(Prepare.class).ballot();
        register.handleMessage(1, RegisterBuilder.promise(from, ballot, acceptedBallot, acceptedValue), effects);
    }

    private void accepted(AcceptorId from) {
        Ballot ballot = effects.lastMessage(Accept.class).ballot();
        register.handleMessage(2, RegisterBuilder.accepted(from, ballot), effects);
    }

    @Test
    void rejectedChangeIsConfirmedOnlyAfterTheAcceptPhase() {
        register.change(0, 1, REJECTING, 1000, effects);
        promise(B, Ballot.NONE, null);
        promise(C, Ballot.NONE, null);
        Assertions.assertEquals(3, effects.messages(Accept.class).size());
        accepted(B);
        Assertions.assertTrue(effects.completed.isEmpty());
        accepted(B);
        Assertions.assertTrue(effects.completed.isEmpty(), "one acceptor was counted twice");
        accepted(C);
        Outcome.Confirmed<String> outcome =
                (Outcome.Confirmed<String>) effects.completed.get(0).outcome();
        Assertions.assertEquals(new RequestResult.OfChange<>("rejected"), outcome.result());
        Assertions.assertFalse(outcome.changed());
    }

    @Test
    void proposalIsBasedOnAValueAcceptedByOneAcceptor() {
        RegisterValue accepted = new RegisterValue(SET, 4, new byte[] {4});
        register.change(0, 1, APPLYING, 1000, effects);
        promise(B, new Ballot(1, "x"), accepted);
        promise(C, Ballot.NONE, null);
        Assertions.assertEquals(5, effects.messages(Accept.class).get(0).value().revision());
    }

    @Test
    void promiseOfANewDiskAtAMembersAddressIsNotCounted() {
        register.change(0, 1, APPLYING, 1000, effects);
        promise(new AcceptorId("b", "wiped"), Ballot.NONE, null);
        promise(new AcceptorId("c", "wiped too"), Ballot.NONE, null);
        promise(A, Ballot.NONE, null);
        Assertions.assertTrue(effects.messages(Accept.class).isEmpty());
    }

    @Test
    void newerAcceptorSetInAPromiseDeterminesTheQuorum() {
        AcceptorSet joint = new AcceptorSet(1, SET.members(), List.of(C, D));
        register.change(0, 1, APPLYING, 1000, effects);
        promise(B, new Ballot(1, "x"), new RegisterValue(joint, 1, null));
        promise(C, Ballot.NONE, null);
        Assertions.assertTrue(
                effects.messages(Accept.class).isEmpty(), "the majority of the joining acceptors was not required");
        Assertions.assertEquals("4", effects.messages(Prepare.class).get(3).recipientIdentity());
        promise(D, Ballot.NONE, null);
        Assertions.assertEquals(4, effects.messages(Accept.class).size());
    }

    @Test
    void transitionCompletesOnlyAfterTheJointSetIsChosen() {
        RegisterValue joint = new RegisterValue(new AcceptorSet(1, SET.members(), List.of(C, D)), 1, null);
        Assertions.assertEquals(Proposal.unchanged(joint), CompletionTask.completeTransition(joint, null));
        RegisterValue other = new RegisterValue(new AcceptorSet(1, SET.members(), List.of(B, D)), 1, null);
        Assertions.assertEquals(Proposal.unchanged(joint), CompletionTask.completeTransition(joint, other));
        AcceptorSet completed =
                CompletionTask.completeTransition(joint, joint).value().acceptors();
        Assertions.assertEquals(new AcceptorSet(2, List.of(C, D), List.of()), completed);
    }

    @Test
    void laterPreparesOfARoundContainItsInitialChosenBallot() {
        AcceptorSet joint = new AcceptorSet(1, SET.members(), List.of(C, D));
        RegisterValue learned = new RegisterValue(SET, 1, new byte[] {1});
        register.change(0, 1, APPLYING, 1000, effects);
        register.handleMessage(
                1, new StatusReport("c", "3", "1", 0, Ballot.NONE, null, new Ballot(1, "x"), 1, learned), effects);
        promise(B, new Ballot(1, "y"), new RegisterValue(joint, 1, null));
        Prepare later = effects.messages(Prepare.class).get(3);
        Assertions.assertEquals("4", later.recipientIdentity());
        Assertions.assertEquals(Ballot.NONE, later.chosenBallot());
    }

    @Test
    void incarnationsNeverUseTheSameBallot() {
        RecordedEffects otherEffects = new RecordedEffects();
        register.change(0, 1, APPLYING, 1000, effects);
        new RegisterBuilder().seed(2).build().change(0, 1, APPLYING, 1000, otherEffects);
        Assertions.assertNotEquals(
                effects.messages(Prepare.class).get(0).ballot(),
                otherEffects.messages(Prepare.class).get(0).ballot());
    }

    @Test
    void overdueRequestIsUnknown() {
        register.change(0, 1, APPLYING, 1000, effects);
        register.tick(999, effects);
        Assertions.assertTrue(effects.completed.isEmpty());
        register.tick(1000, effects);
        Assertions.assertInstanceOf(
                Outcome.Unknown.class, effects.completed.get(0).outcome());
    }

    @Test
    void requestsBeyondTheLimitAreImmediatelyUnknown() {
        for (int request = 0; request <= Register.MAX_PENDING_REQUESTS; request++) {
            register.change(0, request, APPLYING, 1000, effects);
        }
        Assertions.assertEquals(1, effects.completed.size());
        Assertions.assertEquals(
                Register.MAX_PENDING_REQUESTS, effects.completed.get(0).requestId());
    }

    @Test
    void rejectedRoundIsRetriedWithAHigherBallot() {
        register.change(0, 1, APPLYING, 1000, effects);
        Ballot first = effects.messages(Prepare.class).get(0).ballot();
        Ballot higher = new Ballot(41, "x");
        register.handleMessage(1, new Reject("b", "2", "1", first, higher), effects);
        register.handleMessage(1, new Reject("c", "3", "1", first, higher), effects);
        register.tick(500, effects);
        Assertions.assertEquals(
                42, effects.messages(Prepare.class).get(3).ballot().round());
    }

    @Property(tries = 500)
    void quorumsOfAdjacentSetsIntersect(
            @ForAll @IntRange(min = 0, max = 255) int first, @ForAll @IntRange(min = 0, max = 255) int second) {
        AcceptorSet joint = new AcceptorSet(1, List.of(A, B, C), List.of(B, C, D));
        AcceptorSet completed = joint.completeTransition();
        Set<AcceptorId> one = acceptorsFromBits(first);
        Set<AcceptorId> two = acceptorsFromBits(second);
        if (joint.isQuorum(one) && (completed.isQuorum(two) || SET.isQuorum(two))) {
            one.retainAll(two);
            Assertions.assertFalse(one.isEmpty());
        }
    }

    private static Set<AcceptorId> acceptorsFromBits(int bits) {
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
