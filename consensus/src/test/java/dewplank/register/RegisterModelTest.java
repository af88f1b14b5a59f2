package dewplank.register;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Every order of deliveries, losses and duplicates up to a depth, through the register as it is shipped: three
 * acceptors and a joining one, two proposers. Depths are steps: a delivery, a timeout, the end of a store, a kill, a
 * wipe. They are chosen so that all take under 40 s; {@code -Dregister.model.deeper=N} adds N to each, which costs
 * about three times as much for each step, and {@code -Dregister.model.traced=true} prints the steps to a violation.
 *
 * <p>Checked in each state: of any two values chosen by a quorum's votes one extends the other (nothing confirmed is
 * lost); what is confirmed is chosen; what was rejected is in no chosen value, before or after. Messages of a process
 * to itself are delivered at once; answers that do not complete a quorum are counted in one order only, as their order
 * changes nothing else.
 */
class RegisterModelTest {
    private static final AcceptorId A = ModelScenario.acceptor(0, 0);
    private static final AcceptorId B = ModelScenario.acceptor(1, 0);
    private static final AcceptorId C = ModelScenario.acceptor(2, 0);
    private static final AcceptorId D = ModelScenario.acceptor(3, 0);
    private static final AcceptorId C_WIPED = ModelScenario.acceptor(2, 1);

    /**
     * Messages that only speed up learning, dropped where they would only add states: their loss is one of the cases.
     */
    private static final Class<?>[] OPTIONAL_TYPES = {StatusQuery.class, Chosen.class, Reject.class};

    private static RegisterModel model(ModelScenario scenario) {
        return new RegisterModel(scenario, Boolean.getBoolean("register.model.traced"));
    }

    private static void explore(RegisterModel model, int depth, int minChosen) {
        long beganNanos = System.nanoTime();
        model.explore(depth + Integer.getInteger("register.model.deeper", 0));
        System.out.println("register model, " + model.name() + ": " + model.states() + " states, depth "
                + model.depth() + (model.isExhausted() ? " (all there are)" : "") + ", " + model.maxChosen()
                + " values chosen, " + (System.nanoTime() - beganNanos) / 1_000_000 + " ms");
        Assertions.assertTrue(model.maxChosen() >= minChosen, "hardly anything was chosen: " + model.maxChosen());
    }

    private static RegisterModel twoChanges(ModelScenario scenario) {
        return model(scenario).begin(0, ModelScenario.change(1, 0)).begin(1, ModelScenario.change(2, 0));
    }

    private static RegisterModel changeAndReconfiguration(ModelScenario scenario, AcceptorId... target) {
        return model(scenario).begin(0, ModelScenario.change(1, 0)).begin(1, ModelScenario.reconfigure(0, target));
    }

    @Test
    void twoChangesWithTimeouts() {
        explore(twoChanges(new ModelScenario("two changes", 3, 3, OPTIONAL_TYPES).with(1, 0, 0)), 10, 3);
    }

    @Test
    void twoChangesWithAllMessages() {
        explore(twoChanges(new ModelScenario("two changes, all messages", 3, 3).with(1, 0, 0)), 7, 2);
    }

    @Test
    void failedStoreThatIsFoundAfterAKill() {
        explore(twoChanges(new ModelScenario("failed store and kill", 3, 3, OPTIONAL_TYPES).with(1, 1, 1)), 7, 2);
    }

    @Test
    void slowDisksWithAFailureAndAKill() {
        explore(
                twoChanges(new ModelScenario("slow disks", 3, 3, OPTIONAL_TYPES)
                        .with(1, 1, 1)
                        .withSlowDisks()),
                7,
                1);
    }

    @Test
    void changeDuringAReconfiguration() {
        explore(changeAndReconfiguration(new ModelScenario("reconfiguration", 4, 3, OPTIONAL_TYPES), A, B, D), 15, 3);
    }

    @Test
    void reconfigurationWithTimeouts() {
        explore(
                changeAndReconfiguration(
                        new ModelScenario("reconfiguration with timeouts", 4, 3, OPTIONAL_TYPES).with(1, 0, 0),
                        A,
                        B,
                        D),
                10,
                2);
    }

    @Test
    void reconfigurationWithAKillAndAFailedStore() {
        explore(
                changeAndReconfiguration(
                        new ModelScenario("reconfiguration with kill and failed store", 4, 3, OPTIONAL_TYPES)
                                .with(0, 1, 1),
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
                        .begin(0, ModelScenario.reconfigure(0, A, B, D))
                        .begin(1, ModelScenario.reconfigure(0, B, C, D)),
                13,
                2);
    }

    @Test
    void wipeAndReplacementOfTheDisk() {
        explore(
                changeAndReconfiguration(
                        new ModelScenario("wipe", 3, 3, OPTIONAL_TYPES)
                                .with(1, 0, 0)
                                .wiping(2),
                        A,
                        B,
                        C_WIPED),
                9,
                2);
    }

    /** The joint set is chosen and learned by one process, which may be killed; the others may complete it. */
    @Test
    void windowBetweenJointSetAndCompletion() {
        explore(
                model(new ModelScenario("joint", 4, 3, OPTIONAL_TYPES).with(1, 1, 0))
                        .begin(1, ModelScenario.reconfigure(0, A, B, D))
                        .playUntil(registers -> registers.get(1).acceptors().isJoint())
                        .begin(0, ModelScenario.change(2, 0)),
                8,
                3);
    }

    /** The transition is completed and two have learned it; then the disk of an old member is lost and replaced. */
    @Test
    void lossRightAfterTheTransitionCompleted() {
        explore(
                model(new ModelScenario("transition completed, then a wipe", 4, 3, StatusQuery.class, Reject.class)
                                .with(1, 0, 0)
                                .wiping(2))
                        .begin(1, ModelScenario.change(1, 0))
                        .begin(1, ModelScenario.reconfigure(0, D, B, C))
                        .playUntil(registers -> registers.get(3).acceptors().generation() == 2)
                        .begin(1, ModelScenario.reconfigure(2, D, B, C_WIPED))
                        .begin(3, ModelScenario.change(2, 1)),
                8,
                3);
    }

    /** Both founders have no disk. A value is chosen and learned by one process; then any of them restart. */
    @Test
    void foundersWithoutADiskRestartOnceAValueIsChosen() {
        explore(
                model(foundersWithoutADisk(2).restarting(2, 3))
                        .begin(0, ModelScenario.change(1, 0))
                        .playUntil(registers -> registers.get(0).chosenValue() != null)
                        .begin(1, ModelScenario.change(2, 0))
                        .begin(0, ModelScenario.change(3, 1)),
                8,
                2);
    }

    /** The same from the start: any of them restart before, between and after the phases of two proposers. */
    @Test
    void foundersWithoutADiskRestartBetweenThePhases() {
        explore(twoChanges(foundersWithoutADisk(1).restarting(2, 3)), 9, 1);
    }

    /** One founder of three has a disk, and proposes; the others restart. */
    @Test
    void foundersWithAndWithoutADisk() {
        ModelScenario mixed = new ModelScenario(
                        "founders with and without a disk",
                        4,
                        List.of(0, 2, 3),
                        Set.of(2, 3),
                        Chosen.class,
                        Reject.class)
                .with(1, 0, 0)
                .restarting(2, 3);
        explore(twoChanges(mixed), 8, 1);
    }

    /** A set without a disk is replaced by one with, and all its members restart: the joint set stays decidable. */
    @Test
    void foundersWithoutADiskRestartDuringTheirReplacement() {
        explore(
                model(foundersWithoutADisk(2))
                        .begin(0, ModelScenario.reconfigure(0, A, B))
                        .playUntil(registers -> registers.get(0).acceptors().isJoint())
                        .restarted(2)
                        .restarted(3)
                        .begin(1, ModelScenario.change(1, 0)),
                12,
                2);
    }

    private static ModelScenario foundersWithoutADisk(int timeouts) {
        return new ModelScenario("founders without a disk", 4, List.of(2, 3), Set.of(2, 3), Chosen.class, Reject.class)
                .with(timeouts, 0, 0);
    }

    @Test
    void detectsAFounderWithoutADiskThatKeepsItsIdentity() {
        RegisterModel model = model(foundersWithoutADisk(1).restarting(2, 3).keepingIdentity())
                .begin(0, ModelScenario.change(1, 0))
                .playUntil(registers -> registers.get(0).chosenValue() != null)
                .begin(1, ModelScenario.change(2, 0));
        AssertionError noticed = Assertions.assertThrows(AssertionError.class, () -> model.explore(14));
        Assertions.assertTrue(noticed.getMessage().startsWith("chosen are"), noticed.getMessage());
    }

    @Test
    void detectsAWipedDiskThatKeepsItsIdentity() {
        ModelScenario broken = new ModelScenario("kept identity", 3, 3, OPTIONAL_TYPES)
                .wiping(2)
                .keepingIdentity();
        AssertionError noticed = Assertions.assertThrows(
                AssertionError.class, () -> twoChanges(broken).explore(10));
        Assertions.assertTrue(noticed.getMessage().startsWith("chosen are"), noticed.getMessage());
    }
}
