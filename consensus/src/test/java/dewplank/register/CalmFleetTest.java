package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Whole fleets in virtual time, with chosen troubles. */
class CalmFleetTest {
    private static final double PATIENCE = 3000;

    private final SimulatedFleet fleet =
            new SimulatedFleet(4, 3, new SimulationRules(false, false, false), new SplittableRandom(3));
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

    private Outcome.Confirmed confirmed(int index) {
        return Assertions.assertInstanceOf(Outcome.Confirmed.class, outcomes.get(index));
    }

    @Test
    void proposersThatDuelAllEnd() {
        for (int index = 0; index < 4; index++) {
            fleet.change(process(index), index + 1, 0, PATIENCE, outcomes::add);
        }
        fleet.events().playUntil(PATIENCE);
        Assertions.assertEquals(4, outcomes.size());
        int changed = 0;
        for (int index = 0; index < 4; index++) {
            changed += confirmed(index).changed() ? 1 : 0;
        }
        Assertions.assertEquals(1, changed);
    }

    @Test
    void aReplacementMovesTheVotesAndTheValue() {
        fleet.change(process(0), 1, 0, PATIENCE, outcomes::add);
        fleet.events().playUntil(500);
        fleet.replace(process(0), acceptors(1, 2, 3), PATIENCE, outcomes::add);
        fleet.events().playUntil(2000);
        process(0).kill();
        fleet.change(process(3), 2, 1, PATIENCE, outcomes::add);
        fleet.events().playUntil(4000);
        Assertions.assertEquals(VersionHistory.TAKEN, confirmed(2).answer());
        Assertions.assertTrue(process(3).register().isAcceptor());
        Assertions.assertEquals(2, confirmed(2).value().acceptors().generation());
    }

    @Test
    void aReplacementThatChangesNothingSaysSo() {
        fleet.replace(process(0), acceptors(2, 1, 0), PATIENCE, outcomes::add);
        fleet.events().playUntil(1000);
        Assertions.assertFalse(confirmed(0).changed());
        Assertions.assertEquals(0, confirmed(0).value().acceptors().generation());
    }

    @Test
    void aSweepEndsAReplacementItsProposerLeft() {
        fleet.change(process(1), 1, 0, PATIENCE, outcomes::add);
        fleet.events().playUntil(500);
        fleet.replace(process(0), acceptors(1, 2, 3), PATIENCE, outcomes::add);
        boolean joint = false;
        while (!joint) {
            Assertions.assertTrue(fleet.events().playOne(PATIENCE));
            joint = process(0).register().acceptors().isJoint();
        }
        process(0).kill();
        fleet.events().playUntil(6000);
        for (int index = 1; index < 4; index++) {
            Assertions.assertTrue(process(index).register().acceptors().consistsOf(acceptors(1, 2, 3)));
        }
    }

    @Test
    void aSweepBringsTheValueToWhoMissedIt() {
        process(2).freeze();
        fleet.network().cut(process(0).address(), process(2).address());
        fleet.change(process(0), 1, 0, PATIENCE, outcomes::add);
        fleet.events().playUntil(1000);
        Assertions.assertNull(process(2).register().chosenValue());
        process(2).thaw();
        fleet.network().heal();
        fleet.events().playUntil(3000);
        Assertions.assertEquals(confirmed(0).value(), process(2).register().chosenValue());
        Assertions.assertEquals(confirmed(0).value(), process(2).disk().acceptedValue());
    }

    @Test
    void whoIsCutOffKnowsThatNoQuorumAnswers() {
        fleet.change(process(0), 1, 0, PATIENCE, outcomes::add);
        fleet.events().playUntil(2000);
        Assertions.assertTrue(process(0).register().lastQuorumAtMs() > 1000);
        for (int index = 1; index < 4; index++) {
            fleet.network().cut(process(0).address(), process(index).address());
        }
        fleet.events().playUntil(6000);
        Assertions.assertTrue(process(0).register().lastQuorumAtMs() < 2600);
        Assertions.assertTrue(process(1).register().lastQuorumAtMs() > 5000);
        Assertions.assertNotNull(process(0).register().chosenValue());
    }
}
