package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** A replacement of acceptors holds only for the set that it was decided on. */
class ReplacementRulesTest {
    private static final double PATIENCE = 3000;
    private static final double SETTLED = 1500;

    private final SimulatedFleet fleet =
            new SimulatedFleet(5, 3, new SimulationRules(false, false, false), new SplittableRandom(5));
    private final List<Outcome> outcomes = new ArrayList<>();

    private SimulatedProcess process(int index) {
        return fleet.processes().get(index);
    }

    private List<AcceptorId> acceptors(int... indices) {
        List<AcceptorId> acceptors = new ArrayList<>();
        for (int index : indices) {
            acceptors.add(process(index).acceptor());
        }
        return acceptors;
    }

    private void replace(int keeper, long expected, List<AcceptorId> wanted) {
        fleet.replace(process(keeper), expected, wanted, PATIENCE, outcomes::add);
    }

    private Reconfiguration answer(int index) {
        return (Reconfiguration) Assertions.assertInstanceOf(Outcome.Confirmed.class, outcomes.get(index))
                .answer();
    }

    private void assertSet(long generation, List<AcceptorId> members) {
        for (int index = 0; index < 5; index++) {
            if (process(index).isUp() && members.contains(process(index).acceptor())) {
                Assertions.assertEquals(
                        new AcceptorSet(generation, members, List.of()),
                        process(index).register().acceptors());
            }
        }
    }

    @Test
    void aKeeperThatWasFrozenDoesNotPutBackWhoWasReplaced() {
        fleet.change(process(0), 1, 0, PATIENCE, outcome -> {});
        fleet.events().playUntil(SETTLED);
        replace(1, 0, acceptors(0, 1, 3));
        fleet.events().playUntil(2 * SETTLED);
        // Decided on generation 0, in which 2 was a member: it would bring 2 back and drop 3.
        replace(0, 0, acceptors(0, 4, 2));
        fleet.events().playUntil(3 * SETTLED);
        Assertions.assertEquals(Reconfiguration.APPLIED, answer(0));
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, answer(1));
        assertSet(2, acceptors(0, 1, 3));
    }

    @Test
    void aKeeperThatWasSlowDoesNotUndoAGrowth() {
        replace(1, 0, acceptors(0, 1, 2, 3, 4));
        fleet.events().playUntil(SETTLED);
        replace(0, 0, acceptors(0, 1, 3));
        fleet.events().playUntil(2 * SETTLED);
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, answer(1));
        assertSet(2, acceptors(0, 1, 2, 3, 4));
    }

    @Test
    void ofTwoKeepersAtOnceOneIsOvertaken() {
        replace(0, 0, acceptors(0, 1, 3));
        replace(1, 0, acceptors(0, 1, 4));
        fleet.events().playUntil(2 * SETTLED);
        List<Reconfiguration> answers = new ArrayList<>(List.of(answer(0), answer(1)));
        Assertions.assertTrue(answers.remove(Reconfiguration.APPLIED), "none was applied");
        Assertions.assertEquals(List.of(Reconfiguration.SUPERSEDED), answers);
        Assertions.assertEquals(2, process(0).register().acceptors().generation());
    }

    @Test
    void twoKeepersOfOneMindAreBothTold() {
        replace(0, 0, acceptors(0, 1, 3));
        replace(1, 0, acceptors(0, 1, 3));
        fleet.events().playUntil(2 * SETTLED);
        Assertions.assertEquals(Reconfiguration.APPLIED, answer(0));
        Assertions.assertEquals(Reconfiguration.APPLIED, answer(1));
        assertSet(2, acceptors(0, 1, 3));
    }

    @Test
    void whatIsInForceAlreadyIsFoundDone() {
        replace(0, 0, acceptors(2, 0, 1));
        replace(1, 7, acceptors(0, 1, 2));
        fleet.events().playUntil(SETTLED);
        Assertions.assertEquals(Reconfiguration.ALREADY_IN_FORCE, answer(0));
        Assertions.assertEquals(Reconfiguration.ALREADY_IN_FORCE, answer(1));
        assertSet(0, acceptors(0, 1, 2));
    }

    @Test
    void aReplacementFoundHalfDoneIsFinishedAndThenOvertakes() {
        replace(0, 0, acceptors(0, 1, 3));
        while (!process(0).register().acceptors().isJoint()) {
            Assertions.assertTrue(fleet.events().playOne(PATIENCE));
        }
        process(0).kill();
        replace(1, 0, acceptors(1, 2, 4));
        fleet.events().playUntil(2 * SETTLED);
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, answer(0));
        assertSet(2, acceptors(0, 1, 3));
    }

    @Test
    void anAcceptedJointSetOfTheSameGenerationIsNotReplacedByAnother() {
        RegisterValue settled = new RegisterValue(AcceptorSet.of(acceptors(0, 1, 2)), 3, null);
        RegisterValue joint = settled.withAcceptors(settled.acceptors().beginTransition(acceptors(0, 1, 3)));
        ReconfigureTask other = new ReconfigureTask(1, 0, acceptors(0, 1, 4), PATIENCE);
        Assertions.assertEquals(
                joint.acceptors(), other.propose(joint, settled).value().acceptors());
        Assertions.assertFalse(other.isCompletedBy(other.propose(joint, settled)));
        Proposal second = other.propose(joint, joint);
        Assertions.assertTrue(other.isCompletedBy(second));
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, second.answer());
    }
}
