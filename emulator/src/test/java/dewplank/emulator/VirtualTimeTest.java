package dewplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the order in which virtual time runs tasks. */
class VirtualTimeTest {
    private static final int TASKS = 5_000;

    private final VirtualTime time = new VirtualTime();

    @Test
    void tasksRunInOrderOfTimeThenOfScheduling() {
        Random random = new Random(3);
        List<String> expected = new ArrayList<>();
        List<String> actual = new ArrayList<>();
        for (int order = 0; order < TASKS; order++) {
            int atMs = random.nextInt(500);
            String name = "%04d %05d".formatted(atMs, order);
            expected.add(name);
            time.after(atMs, () -> actual.add(name));
        }
        Collections.sort(expected);
        time.runUntil(1_000);
        assertEquals(expected, actual);
        assertEquals(1_000, time.now());
        assertEquals(TASKS, time.tasksRun());
    }

    @Test
    void aTaskWithANegativeDelayRunsAtTheCurrentTimeAfterTheCallingTask() {
        List<Double> ranAtMs = new ArrayList<>();
        time.after(10, () -> {
            time.after(-5, () -> ranAtMs.add(time.now()));
            ranAtMs.add(-1.0);
        });
        time.runUntil(20);
        assertEquals(List.of(-1.0, 10.0), ranAtMs);
    }
}
