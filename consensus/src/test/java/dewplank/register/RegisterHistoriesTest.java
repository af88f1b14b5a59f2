package dewplank.register;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Checks the observations of the register's callers under every kind of fault of a deployment. {@code
 * -Dregister.histories=N} sets the number of histories, {@code -Dregister.seed=S} replays one.
 */
class RegisterHistoriesTest {
    private static final int DEFAULT_HISTORIES = 10_000;
    private static final int BROKEN_HISTORIES = 1000;
    private static final int MIN_CONFIRMED = 3;

    @Test
    void everyHistoryIsLinearizable() {
        Long only = Long.getLong("register.seed");
        if (only != null) {
            run(only);
            return;
        }
        int histories = Integer.getInteger("register.histories", DEFAULT_HISTORIES);
        long confirmed = 0;
        for (long seed = 0; seed < histories; seed++) {
            confirmed += run(seed);
        }
        Assertions.assertTrue(confirmed > (long) MIN_CONFIRMED * histories, "too few requests were confirmed");
    }

    @Test
    void detectsAWipedDiskThatKeepsItsIdentity() {
        SimulationRules broken = new SimulationRules(true, false, true);
        Assertions.assertThrows(AssertionError.class, () -> {
            for (long seed = 0; seed < BROKEN_HISTORIES; seed++) {
                new SimulatedHistory(seed, broken).run();
            }
        });
    }

    private static int run(long seed) {
        try {
            return SimulatedHistory.of(seed).run();
        } catch (AssertionError | RuntimeException failure) {
            throw new AssertionError("history of seed " + seed + ": " + failure.getMessage(), failure);
        }
    }
}
