package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests whole fleets in virtual time, with selected faults. */
class FleetScenariosTest {
    private static final double TIMEOUT_MS = 3000;

    private final SimulatedFleet fleet =
            new SimulatedFleet(4, 3, new SimulationRules(false, false, false), new SplittableRandom(3));
    private final List<Outcome<String>> outcomes = new ArrayList<>();

    private Outcome.Confirmed<String> confirmed(int index) {
        Assertions.assertInstanceOf(Outcome.Confirmed.class, outcomes.get(index));
        return (Outcome.Confirmed<String>) outcomes.get(index);
    }

    @Test
    void allCompetingProposersComplete() {
        for (int index = 0; index < 4; index++) {
            fleet.change(fleet.process(index), index + 1, 0, TIMEOUT_MS, outcomes::add);
        }
        fleet.events().runUntil(TIMEOUT_MS);
        Assertions.assertEquals(4, outcomes.size());
        int changed = 0;
        for (int index = 0; index < 4; index++) {
            changed += confirmed(index).changed() ? 1 : 0;
        }
        Assertions.assertEquals(1, changed);
    }

    @Test
    void reconfigurationTransfersVotesAndValue() {
        fleet.change(fleet.process(0), 1, 0, TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(500);
        fleet.reconfigure(fleet.process(0), fleet.acceptors(1, 2, 3), TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(2000);
        fleet.process(0).kill();
        fleet.change(fleet.process(3), 2, 1, TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(4000);
        Assertions.assertEquals(
                new RequestResult.OfChange<>(VersionHistory.APPLIED),
                confirmed(2).result());
        Assertions.assertTrue(fleet.process(3).register().isAcceptor());
        Assertions.assertEquals(2, confirmed(2).value().acceptors().generation());
    }

    @Test
    void reconfigurationWithoutEffectIsReportedAsUnchanged() {
        fleet.reconfigure(fleet.process(0), fleet.acceptors(2, 1, 0), TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(1000);
        Assertions.assertFalse(confirmed(0).changed());
        Assertions.assertEquals(0, confirmed(0).value().acceptors().generation());
    }

    @Test
    void antiEntropyCompletesAnAbandonedReconfiguration() {
        fleet.change(fleet.process(1), 1, 0, TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(500);
        fleet.reconfigure(fleet.process(0), fleet.acceptors(1, 2, 3), TIMEOUT_MS, outcomes::add);
        boolean isJoint = false;
        while (!isJoint) {
            Assertions.assertTrue(fleet.events().runNext(TIMEOUT_MS));
            isJoint = fleet.process(0).register().acceptors().isJoint();
        }
        fleet.process(0).kill();
        fleet.events().runUntil(6000);
        for (int index = 1; index < 4; index++) {
            Assertions.assertTrue(fleet.process(index).register().acceptors().consistsOf(fleet.acceptors(1, 2, 3)));
        }
    }

    @Test
    void antiEntropyDeliversAMissedValue() {
        fleet.process(2).pause();
        fleet.network().block(fleet.process(0).address(), fleet.process(2).address());
        fleet.change(fleet.process(0), 1, 0, TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(1000);
        Assertions.assertNull(fleet.process(2).register().chosenValue());
        fleet.process(2).resume();
        fleet.network().heal();
        fleet.events().runUntil(3000);
        Assertions.assertEquals(
                confirmed(0).value(), fleet.process(2).register().chosenValue());
        Assertions.assertEquals(confirmed(0).value(), fleet.process(2).disk().acceptedValue());
    }

    @Test
    void partitionedProcessDetectsThatNoQuorumReplies() {
        fleet.change(fleet.process(0), 1, 0, TIMEOUT_MS, outcomes::add);
        fleet.events().runUntil(2000);
        Assertions.assertTrue(fleet.process(0).register().lastQuorumAtMs() > 1000);
        for (int index = 1; index < 4; index++) {
            fleet.network()
                    .block(fleet.process(0).address(), fleet.process(index).address());
        }
        fleet.events().runUntil(6000);
        Assertions.assertTrue(fleet.process(0).register().lastQuorumAtMs() < 2600);
        Assertions.assertTrue(fleet.process(1).register().lastQuorumAtMs() > 5000);
        Assertions.assertNotNull(fleet.process(0).register().chosenValue());
    }
}
