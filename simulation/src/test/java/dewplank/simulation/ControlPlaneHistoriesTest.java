package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Whole control planes, data planes' sessions, operators, the platform and disks in virtual time, under every fault
 * that a deployment knows. {@code -Dhistories=N -Dseed=S} plays N histories from seed S on; a seed plays again exactly.
 */
class ControlPlaneHistoriesTest {
    private static final int DEFAULT_HISTORIES = 2_000;
    private static final int SHOWN = 12;

    @Test
    void everyHistoryKeepsTheRules() {
        long first = Long.getLong("seed", 0);
        int histories = Integer.getInteger("histories", System.getProperty("seed") == null ? DEFAULT_HISTORIES : 1);
        Map<Long, Throwable> failures = new ConcurrentSkipListMap<>();
        AtomicLong answers = new AtomicLong();
        long began = System.nanoTime();
        LongStream.range(first, first + histories).parallel().forEach(seed -> {
            History history = new History(seed);
            try {
                history.play();
            } catch (AssertionError | RuntimeException failure) {
                failures.put(seed, failure);
            }
            answers.addAndGet(history.fleet().invariants().answers());
        });
        System.out.printf(
                "histories: %d from seed %d, %d answers to operators, %d broken, %.1f s%n",
                histories, first, answers.get(), failures.size(), (System.nanoTime() - began) / 1e9);
        Map<Long, String> shown = new TreeMap<>();
        failures.forEach((seed, failure) -> {
            if (shown.size() < SHOWN) {
                shown.put(seed, failure.toString());
            }
        });
        if (!failures.isEmpty()) {
            throw new AssertionError(
                    failures.size() + " histories break a rule: " + shown,
                    failures.values().iterator().next());
        }
        assertTrue(answers.get() > 5L * histories, "hardly anything was answered");
    }

    /** Nothing that a history does depends on more than its seed. */
    @Test
    void aSeedReplaysExactly() {
        for (long seed : List.of(1L, 2L, 3L, 4L, 5L)) {
            assertEquals(digest(seed), digest(seed), "seed " + seed);
        }
    }

    private static long digest(long seed) {
        History history = new History(seed);
        try {
            history.play();
        } catch (AssertionError broken) {
            return history.fleet().invariants().digest();
        }
        return history.fleet().invariants().digest();
    }
}
