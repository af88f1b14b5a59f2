package dewplank.register;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Runs the production code of the register through every order of deliveries, losses and duplicates up to a depth, with
 * three acceptors, a joining acceptor and two proposers. The depth counts steps: a delivery, a timeout, the end of a
 * store, a kill or a wipe. The depths are chosen so that all tests take less than 40 s. {@code
 * -Dregister.model.deeper=N} adds N to each depth, which takes about three times as long per step. {@code
 * -Dregister.model.traced=true} prints the steps that lead to a violation.
 *
 * <p>Each state is checked: of any two values chosen by the votes of a quorum one extends the other, so no confirmed
 * change is lost; each confirmed value is chosen; a rejected change is in no chosen value, before or after the
 * rejection. Messages of a process to itself are delivered immediately. Replies that do not complete a quorum are
 * counted in one order only, because their order has no other effect.
 */
class RegisterModelTest {
    private static final AcceptorId A = ModelScenario.acceptor(0, 0);
    private static final AcceptorId B = ModelScenario.acceptor(1, 0);
    private static final AcceptorId C = ModelScenario.acceptor(2, 0);
    private static final AcceptorId D = ModelScenario.acceptor(3, 0);
    private static final AcceptorId C_WIPED = ModelScenario.acceptor(2, 1);

    /** Messages that only speed up learning. Dropping them, which is a possible loss, reduces the number of states. */
    private static final Class<?>[] OPTIONAL_TYPES = {StatusQuery.class, Chosen.class, Reject.class};

    private static RegisterModel model(ModelScenario scenario) {
        return new RegisterModel(scenario, Boolean.getBoolean("register.model.traced"));
    }

    private static void explore(RegisterModel model, int depth, int minChosen) {
        long beganNanos = System.nanoTime();
        model.explore(depth + Integer.getInteger("register.model.deeper", 0));
        System.out.println("register model, " + model.name() + ": " + model.states() + " states, depth "
                + model.depth() + (model.isExhausted() ? " (exhausted)" : "") + ", " + model.maxChosen()
                + " values chosen, " + (System.nanoTime() - beganNanos) / 1_000_000 + " ms");
        Assertions.assertTrue(model.maxChosen() >= minChosen, "too few values were chosen: " + model.maxChosen());
    }

    private static RegisterModel modelOfTwoChanges(ModelScenario scenario) {
        return model(scenario).runInitially(0, ModelScenario.change(1, 0)).runInitially(1, ModelScenario.change(2, 0));
    }

    private static RegisterModel modelOfChangeAndReconfiguration(ModelScenario scenario, AcceptorId... target) {
        return model(scenario)
                .runInitially(0, ModelScenario.change(1, 0))
                .runInitially(1, ModelScenario.reconfigure(0, target));
    }

    @Test
    void twoChangesWithTimeouts() {
        explore(modelOfTwoChanges(new ModelScenario("two changes", 3, 3, OPTIONAL_TYPES).withLimits(1, 0, 0)), 10, 3);
    }

    @Test
    void twoChangesWithAllMessages() {
        explore(modelOfTwoChanges(new ModelScenario("two changes, all messages", 3, 3).withLimits(1, 0, 0)), 7, 2);
    }

    @Test
    void failedStoreThatIsOnDiskAfterAKill() {
        explore(
                modelOfTwoChanges(new ModelScenario("failed store and kill", 3, 3, OPTIONAL_TYPES).withLimits(1, 1, 1)),
                7,
                2);
    }

    @Test
    void slowDisksWithAFailureAndAKill() {
        explore(
                modelOfTwoChanges(new ModelScenario("slow disks", 3, 3, OPTIONAL_TYPES)
                        .withLimits(1, 1, 1)
                        .withSlowDisks()),
                7,
                1);
    }

    @Test
    void changeDuringAReconfiguration() {
        explore(
                modelOfChangeAndReconfiguration(new ModelScenario("reconfiguration", 4, 3, OPTIONAL_TYPES), A, B, D),
                15,
                3);
    }

    @Test
    void reconfigurationWithTimeouts() {
        explore(
                modelOfChangeAndReconfiguration(
                        new ModelScenario("reconfiguration with timeouts", 4, 3, OPTIONAL_TYPES).withLimits(1, 0, 0),
                        A,
                        B,
                        D),
                10,
                2);
    }

    @Test
    void reconfigurationWithAKillAndAFailedStore() {
        explore(
                modelOfChangeAndReconfiguration(
                        new ModelScenario("reconfiguration with kill and failed store", 4, 3, OPTIONAL_TYPES)
                                .withLimits(0, 1, 1),
                        A,
                        B,
                        D),
                7,
                2);
    }

    @Test
    void twoReconfigurationsWithDifferentTargets() {
        explore(
                model(new ModelScenario("two reconfigurations", 4, 3, OPTIONAL_TYPES))
                        .runInitially(0, ModelScenario.reconfigure(0, A, B, D))
                        .runInitially(1, ModelScenario.reconfigure(0, B, C, D)),
                13,
                2);
    }

    @Test
    void wipedDiskIsReplaced() {
        explore(
                modelOfChangeAndReconfiguration(
                        new ModelScenario("wipe", 3, 3, OPTIONAL_TYPES)
                                .withLimits(1, 0, 0)
                                .wiping(2),
                        A,
                        B,
                        C_WIPED),
                9,
                2);
    }

    /**
     * One process learns that the joint set is chosen and may then be killed; the others may complete the transition.
     */
    @Test
    void killBetweenJointSetAndCompletion() {
        explore(
                model(new ModelScenario("joint", 4, 3, OPTIONAL_TYPES).withLimits(1, 1, 0))
                        .runInitially(1, ModelScenario.reconfigure(0, A, B, D))
                        .runUntil(registers -> registers.get(1).acceptors().isJoint())
                        .runInitially(0, ModelScenario.change(2, 0)),
                8,
                3);
    }

    /** Two processes learn that the transition is completed; then the disk of an old member is lost and replaced. */
    @Test
    void diskLossImmediatelyAfterTheTransition() {
        explore(
                model(new ModelScenario("transition completed, then a wipe", 4, 3, StatusQuery.class, Reject.class)
                                .withLimits(1, 0, 0)
                                .wiping(2))
                        .runInitially(1, ModelScenario.change(1, 0))
                        .runInitially(1, ModelScenario.reconfigure(0, D, B, C))
                        .runUntil(registers -> registers.get(3).acceptors().generation() == 2)
                        .runInitially(1, ModelScenario.reconfigure(2, D, B, C_WIPED))
                        .runInitially(3, ModelScenario.change(2, 1)),
                8,
                3);
    }

    /** Neither founder has a disk. One process learns that a value is chosen; then founders restart. */
    @Test
    void foundersWithoutADiskRestartAfterAValueIsChosen() {
        explore(
                model(foundersWithoutADisk(2).restarting(2, 3))
                        .runInitially(0, ModelScenario.change(1, 0))
                        .runUntil(registers -> registers.get(0).chosenValue() != null)
                        .runInitially(1, ModelScenario.change(2, 0))
                        .runInitially(0, ModelScenario.change(3, 1)),
                8,
                2);
    }

    /** Neither founder has a disk. Founders restart before, between and after the phases of two proposers. */
    @Test
    void foundersWithoutADiskRestartBetweenThePhases() {
        explore(modelOfTwoChanges(foundersWithoutADisk(1).restarting(2, 3)), 9, 1);
    }

    /** One founder of three has a disk and proposes; the others restart. */
    @Test
    void foundersWithAndWithoutADisk() {
        ModelScenario mixed = new ModelScenario(
                        "founders with and without a disk",
                        4,
                        List.of(0, 2, 3),
                        Set.of(2, 3),
                        Chosen.class,
                        Reject.class)
                .withLimits(1, 0, 0)
                .restarting(2, 3);
        explore(modelOfTwoChanges(mixed), 8, 1);
    }

    /** Acceptors with disks replace a set without disks, whose members all restart: the joint set can still decide. */
    @Test
    void foundersWithoutADiskRestartDuringTheirReplacement() {
        explore(
                model(foundersWithoutADisk(2))
                        .runInitially(0, ModelScenario.reconfigure(0, A, B))
                        .runUntil(registers -> registers.get(0).acceptors().isJoint())
                        .restarted(2)
                        .restarted(3)
                        .runInitially(1, ModelScenario.change(1, 0)),
                12,
                2);
    }

    private static ModelScenario foundersWithoutADisk(int timeouts) {
        return new ModelScenario("founders without a disk", 4, List.of(2, 3), Set.of(2, 3), Chosen.class, Reject.class)
                .withLimits(timeouts, 0, 0);
    }

    @Test
    void detectsAFounderWithoutADiskThatKeepsItsIdentity() {
        RegisterModel model = model(foundersWithoutADisk(1).restarting(2, 3).keepingIdentity())
                .runInitially(0, ModelScenario.change(1, 0))
                .runUntil(registers -> registers.get(0).chosenValue() != null)
                .runInitially(1, ModelScenario.change(2, 0));
        AssertionError noticed = Assertions.assertThrows(AssertionError.class, () -> model.explore(14));
        Assertions.assertTrue(noticed.getMessage().startsWith("chosen are"), noticed.getMessage());
    }

    @Test
    void detectsAWipedDiskThatKeepsItsIdentity() {
        ModelScenario broken = new ModelScenario("reused identity", 3, 3, OPTIONAL_TYPES)
                .wiping(2)
                .keepingIdentity();
        AssertionError noticed = Assertions.assertThrows(
                AssertionError.class, () -> modelOfTwoChanges(broken).explore(10));
        Assertions.assertTrue(noticed.getMessage().startsWith("chosen are"), noticed.getMessage());
    }
}
