package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests that a reconfiguration takes effect only if the acceptor set that it is based on is still current. */
class ReconfigurationRulesTest {
    private static final double TIMEOUT_MS = 3000;
    private static final double RECONFIGURED_MS = 1500;

    private final SimulatedFleet fleet =
            new SimulatedFleet(5, 3, new SimulationRules(false, false, false), new SplittableRandom(5));
    private final List<Outcome<String>> outcomes = new ArrayList<>();

    private void reconfigure(int proposing, long expectedGeneration, List<AcceptorId> target) {
        fleet.reconfigure(fleet.process(proposing), expectedGeneration, target, TIMEOUT_MS, outcomes::add);
    }

    private Reconfiguration result(int index) {
        Outcome.Confirmed<?> confirmed = Assertions.assertInstanceOf(Outcome.Confirmed.class, outcomes.get(index));
        return Assertions.assertInstanceOf(RequestResult.OfReconfiguration.class, confirmed.result())
                .result();
    }

    private void assertSet(long generation, List<AcceptorId> members) {
        for (int index = 0; index < 5; index++) {
            if (fleet.process(index).isUp()
                    && members.contains(fleet.process(index).acceptor())) {
                Assertions.assertEquals(
                        new AcceptorSet(generation, members, List.of()),
                        fleet.process(index).register().acceptors());
            }
        }
    }

    @Test
    void staleReconfigurationDoesNotRestoreAReplacedAcceptor() {
        fleet.change(fleet.process(0), 1, 0, TIMEOUT_MS, outcome -> {});
        fleet.events().runUntil(RECONFIGURED_MS);
        reconfigure(1, 0, fleet.acceptors(0, 1, 3));
        fleet.events().runUntil(2 * RECONFIGURED_MS);
        // This request is based on generation 0, in which 2 was a member: it would restore 2 and remove 3.
        reconfigure(0, 0, fleet.acceptors(0, 4, 2));
        fleet.events().runUntil(3 * RECONFIGURED_MS);
        Assertions.assertEquals(Reconfiguration.APPLIED, result(0));
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, result(1));
        assertSet(2, fleet.acceptors(0, 1, 3));
    }

    @Test
    void staleReconfigurationDoesNotUndoAnExpansion() {
        reconfigure(1, 0, fleet.acceptors(0, 1, 2, 3, 4));
        fleet.events().runUntil(RECONFIGURED_MS);
        reconfigure(0, 0, fleet.acceptors(0, 1, 3));
        fleet.events().runUntil(2 * RECONFIGURED_MS);
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, result(1));
        assertSet(2, fleet.acceptors(0, 1, 2, 3, 4));
    }

    @Test
    void oneOfTwoConcurrentReconfigurationsIsSuperseded() {
        reconfigure(0, 0, fleet.acceptors(0, 1, 3));
        reconfigure(1, 0, fleet.acceptors(0, 1, 4));
        fleet.events().runUntil(2 * RECONFIGURED_MS);
        List<Reconfiguration> results = new ArrayList<>(List.of(result(0), result(1)));
        Assertions.assertTrue(results.remove(Reconfiguration.APPLIED), "none was applied");
        Assertions.assertEquals(List.of(Reconfiguration.SUPERSEDED), results);
        Assertions.assertEquals(2, fleet.process(0).register().acceptors().generation());
    }

    @Test
    void twoEqualConcurrentReconfigurationsAreBothApplied() {
        reconfigure(0, 0, fleet.acceptors(0, 1, 3));
        reconfigure(1, 0, fleet.acceptors(0, 1, 3));
        fleet.events().runUntil(2 * RECONFIGURED_MS);
        Assertions.assertEquals(Reconfiguration.APPLIED, result(0));
        Assertions.assertEquals(Reconfiguration.APPLIED, result(1));
        assertSet(2, fleet.acceptors(0, 1, 3));
    }

    @Test
    void currentTargetIsReportedAsAlreadyInForce() {
        reconfigure(0, 0, fleet.acceptors(2, 0, 1));
        reconfigure(1, 7, fleet.acceptors(0, 1, 2));
        fleet.events().runUntil(RECONFIGURED_MS);
        Assertions.assertEquals(Reconfiguration.ALREADY_IN_FORCE, result(0));
        Assertions.assertEquals(Reconfiguration.ALREADY_IN_FORCE, result(1));
        assertSet(0, fleet.acceptors(0, 1, 2));
    }

    @Test
    void incompleteReconfigurationIsCompletedAndSupersedesTheNext() {
        reconfigure(0, 0, fleet.acceptors(0, 1, 3));
        while (!fleet.process(0).register().acceptors().isJoint()) {
            Assertions.assertTrue(fleet.events().runNext(TIMEOUT_MS));
        }
        fleet.process(0).kill();
        reconfigure(1, 0, fleet.acceptors(1, 2, 4));
        fleet.events().runUntil(2 * RECONFIGURED_MS);
        Assertions.assertEquals(Reconfiguration.SUPERSEDED, result(0));
        assertSet(2, fleet.acceptors(0, 1, 3));
    }

    @Test
    void acceptedJointSetOfTheSameGenerationIsNotReplaced() {
        RegisterValue initial = new RegisterValue(AcceptorSet.of(fleet.acceptors(0, 1, 2)), 3, null);
        RegisterValue joint = initial.withAcceptors(initial.acceptors().beginTransition(fleet.acceptors(0, 1, 3)));
        ReconfigureTask<String> other = new ReconfigureTask<>(1, 0, fleet.acceptors(0, 1, 4), TIMEOUT_MS);
        Assertions.assertEquals(
                joint.acceptors(), other.propose(joint, initial).value().acceptors());
        Assertions.assertFalse(other.isCompletedBy(other.propose(joint, initial)));
        Proposal<String> second = other.propose(joint, joint);
        Assertions.assertTrue(other.isCompletedBy(second));
        Assertions.assertEquals(new RequestResult.OfReconfiguration<>(Reconfiguration.SUPERSEDED), second.result());
    }
}
