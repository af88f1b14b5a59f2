package dewplank.register;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Every order of messages, losses and repeats up to a depth, through the register as it is shipped: three acceptors and
 * a newcomer, two proposers. Depths are steps: a delivery, a timeout, the end of a store, a kill, a wipe. They are
 * chosen so that all take under 40 s; {@code -Dregister.model.deeper=N} adds N to each, which costs about three times
 * as much for each step, and {@code -Dregister.model.traced=true} prints the steps to a violation.
 *
 * <p>Checked in each state: of any two values chosen by a quorum's votes one extends the other (nothing confirmed is
 * lost); what is confirmed is chosen; what was refused is in no chosen value, before or after. Messages of a process to
 * itself come at once; answers that do not yet complete a quorum are counted in one order only, as their order changes
 * nothing else.
 */
class RegisterModelTest {
    private static final AcceptorId A = ModelScenario.acceptor(0, 0);
    private static final AcceptorId B = ModelScenario.acceptor(1, 0);
    private static final AcceptorId C = ModelScenario.acceptor(2, 0);
    private static final AcceptorId D = ModelScenario.acceptor(3, 0);
    private static final AcceptorId C_WIPED = ModelScenario.acceptor(2, 1);

    /** What only speeds up learning, left out where it would only add states: its loss is among the losses. */
    private static final Class<?>[] HINTS = {StatusQuery.class, Chosen.class, Reject.class};

    private static RegisterModel model(ModelScenario scenario) {
        return new RegisterModel(scenario, Boolean.getBoolean("register.model.traced"));
    }

    private static void explore(RegisterModel model, int depth, int leastChosen) {
        long began = System.nanoTime();
        model.explore(depth + Integer.getInteger("register.model.deeper", 0));
        System.out.println("register model, " + model.name() + ": " + model.states() + " states, depth "
                + model.depth() + (model.isExhausted() ? " (all there are)" : "") + ", " + model.chosenAtMost()
                + " values chosen, " + (System.nanoTime() - began) / 1_000_000 + " ms");
        Assertions.assertTrue(
                model.chosenAtMost() >= leastChosen, "hardly anything was chosen: " + model.chosenAtMost());
    }

    private static RegisterModel twoChanges(ModelScenario scenario) {
        return model(scenario).begin(0, ModelScenario.change(1, 0)).begin(1, ModelScenario.change(2, 0));
    }

    private static RegisterModel changeAndReplacement(ModelScenario scenario, AcceptorId... wanted) {
        return model(scenario).begin(0, ModelScenario.change(1, 0)).begin(1, ModelScenario.replace(0, wanted));
    }

    @Test
    void twoChangesThatAreBegunAgain() {
        explore(twoChanges(new ModelScenario("two changes", 3, 3, HINTS).with(1, 0, 0)), 10, 3);
    }

    @Test
    void twoChangesWithHints() {
        explore(twoChanges(new ModelScenario("two changes, all messages", 3, 3).with(1, 0, 0)), 7, 2);
    }

    @Test
    void aFailedStoreThatIsFoundAfterAKill() {
        explore(twoChanges(new ModelScenario("failed store and kill", 3, 3, HINTS).with(1, 1, 1)), 7, 2);
    }

    @Test
    void disksThatTakeTheirTimeFailAndAreKilled() {
        explore(
                twoChanges(new ModelScenario("slow disks", 3, 3, HINTS)
                        .with(1, 1, 1)
                        .withSlowDisks()),
                7,
                1);
    }

    @Test
    void aChangeDuringAReplacement() {
        explore(changeAndReplacement(new ModelScenario("replacement", 4, 3, HINTS), A, B, D), 15, 3);
    }

    @Test
    void aReplacementThatIsBegunAgain() {
        explore(
                changeAndReplacement(
                        new ModelScenario("replacement with timeouts", 4, 3, HINTS).with(1, 0, 0), A, B, D),
                10,
                2);
    }

    @Test
    void aReplacementWithAKill() {
        explore(
                changeAndReplacement(
                        new ModelScenario("replacement with kill and failed store", 4, 3, HINTS).with(0, 1, 1),
                        A,
                        B,
                        D),
                7,
                2);
    }

    @Test
    void twoKeepersThatWantDifferentSets() {
        explore(
                model(new ModelScenario("two keepers", 4, 3, HINTS))
                        .begin(0, ModelScenario.replace(0, A, B, D))
                        .begin(1, ModelScenario.replace(0, B, C, D)),
                13,
                2);
    }

    @Test
    void aWipeAndItsReplacement() {
        explore(
                changeAndReplacement(
                        new ModelScenario("wipe", 3, 3, HINTS).with(1, 0, 0).wiping(2), A, B, C_WIPED),
                9,
                2);
    }

    /** The joint set is chosen and known to one process, which may be killed; the others may finish. */
    @Test
    void theWindowBetweenJointAndSettled() {
        explore(
                model(new ModelScenario("joint", 4, 3, HINTS).with(1, 1, 0))
                        .begin(1, ModelScenario.replace(0, A, B, D))
                        .playUntil(registers -> registers.get(1).acceptors().isJoint())
                        .begin(0, ModelScenario.change(2, 0)),
                8,
                3);
    }

    /** The set is settled and two know; then an old member's disk is lost, and it is replaced. */
    @Test
    void aLossRightAfterTheSetSettled() {
        explore(
                model(new ModelScenario("settled, then a wipe", 4, 3, StatusQuery.class, Reject.class)
                                .with(1, 0, 0)
                                .wiping(2))
                        .begin(1, ModelScenario.change(1, 0))
                        .begin(1, ModelScenario.replace(0, D, B, C))
                        .playUntil(registers -> registers.get(3).acceptors().generation() == 2)
                        .begin(1, ModelScenario.replace(2, D, B, C_WIPED))
                        .begin(3, ModelScenario.change(2, 1)),
                8,
                3);
    }

    @Test
    void aWipedDiskThatKeptItsIdentityIsNoticed() {
        ModelScenario broken =
                new ModelScenario("kept identity", 3, 3, HINTS).wiping(2).keepingIdentity();
        AssertionError noticed = Assertions.assertThrows(
                AssertionError.class, () -> twoChanges(broken).explore(10));
        Assertions.assertTrue(noticed.getMessage().startsWith("chosen are"), noticed.getMessage());
    }
}
