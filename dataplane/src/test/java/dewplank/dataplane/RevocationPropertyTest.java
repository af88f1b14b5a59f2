package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Checks that in random histories no request with a revoked key is sent later than {@link RevocationModel#REVOKE_MS}
 * after the acknowledgement of the revocation, and that the newest configuration applies once all faults are healed. A
 * failure prints its seed.
 */
class RevocationPropertyTest {
    private static final int CONTROL_PLANES = 3;
    private static final int STEPS = 600;
    private static final double MAX_STEP_MS = 60;
    /**
     * Faults last at most this long, so that some are shorter than {@link RevocationModel#REVOKE_MS} and some longer.
     */
    private static final double MAX_FAULT_MS = 2 * RevocationModel.REVOKE_MS;

    private static final double MAX_MESSAGE_DELAY_MS = 4_000;
    private static final double MAX_LOSS_PROBABILITY = 0.4;
    /** Long enough for sessions to time out, backoffs to elapse and new sessions to open. */
    private static final double HEALING_MS = 10_000;

    private static void injectFault(RevocationModel model, Random random) {
        double forMs = random.nextDouble() * MAX_FAULT_MS;
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> model.choose(random.nextInt(3) == 0);
            case 3 -> model.pauseDataPlane(forMs);
            case 4, 5 -> model.isolate(random.nextInt(CONTROL_PLANES), forMs);
            case 6, 7 -> model.partition(random.nextInt(CONTROL_PLANES), forMs);
            case 8 -> model.setMessageFaults(
                    random.nextDouble() * MAX_MESSAGE_DELAY_MS, random.nextDouble() * MAX_LOSS_PROBABILITY);
            default -> model.heal();
        }
    }

    private static void step(RevocationModel model, Random random) {
        model.runFor(random.nextDouble() * MAX_STEP_MS);
        model.sendRequest();
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void noKeyIsAcceptedLaterThanTheTimeLimitAfterItsRevocation(@ForAll long seed) {
        Random random = new Random(seed);
        RevocationModel model = new RevocationModel(random);
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(15) == 0) {
                injectFault(model, random);
            }
            step(model, random);
        }
        model.heal();
        model.runFor(MAX_FAULT_MS + HEALING_MS);
        assertEquals(
                model.newestHasKey(),
                model.isKeyAccepted(),
                "the newest configuration applies once all faults are healed");
    }

    /** If keys were rejected without faults, the test with random histories would pass without checking anything. */
    @Example
    void keysAreAcceptedAllTheTimeWithoutFaults() {
        Random random = new Random(1);
        RevocationModel model = new RevocationModel(random);
        model.runFor(HEALING_MS);
        for (int step = 0; step < STEPS; step++) {
            step(model, random);
        }
        model.runFor(0); // so that the last request is decided
        assertEquals(STEPS, model.allowedRequests());
    }

    /** All control planes are in minorities: the last confirmation is sufficient for a while, and then expires. */
    @Example
    void keysAreAcceptedForALimitedTimeWithoutAQuorum() {
        Random random = new Random(1);
        RevocationModel model = new RevocationModel(random);
        model.runFor(HEALING_MS);
        for (int control = 0; control < CONTROL_PLANES; control++) {
            model.isolate(control, MAX_FAULT_MS);
        }
        model.runFor(RevocationModel.REVOKE_MS / 2);
        assertTrue(model.isKeyAccepted());
        model.runFor(RevocationModel.REVOKE_MS / 2);
        assertFalse(model.isKeyAccepted());
    }
}
