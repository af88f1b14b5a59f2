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
 * Complete control planes, data planes' sessions, operators, the platform and disks in virtual time, under every kind
 * of fault of a deployment. {@code -Dhistories=N -Dseed=S} executes N simulation runs with the seeds from S on; runs
 * with the same seed are identical.
 */
class ControlPlaneHistoriesTest {
    private static final int DEFAULT_HISTORIES = 2_000;
    private static final int MAX_SHOWN_FAILURES = 12;

    @Test
    void everySimulationRunKeepsTheInvariants() {
        long first = Long.getLong("seed", 0);
        int histories = Integer.getInteger("histories", System.getProperty("seed") == null ? DEFAULT_HISTORIES : 1);
        Map<Long, Throwable> failures = new ConcurrentSkipListMap<>();
        AtomicLong responses = new AtomicLong();
        long startNanos = System.nanoTime();
        LongStream.range(first, first + histories).parallel().forEach(seed -> {
            History history = new History(seed);
            try {
                history.run();
            } catch (AssertionError | RuntimeException failure) {
                failures.put(seed, failure);
            }
            responses.addAndGet(history.fleet().invariants().responses());
        });
        System.out.printf(
                "histories: %d from seed %d, %d responses to operators, %d failed, %.1f s%n",
                histories, first, responses.get(), failures.size(), (System.nanoTime() - startNanos) / 1e9);
        Map<Long, String> shown = new TreeMap<>();
        failures.forEach((seed, failure) -> {
            if (shown.size() < MAX_SHOWN_FAILURES) {
                shown.put(seed, failure.toString());
            }
        });
        if (!failures.isEmpty()) {
            throw new AssertionError(
                    failures.size() + " histories violate an invariant: " + shown,
                    failures.values().iterator().next());
        }
        assertTrue(responses.get() > 5L * histories, "too few requests got a response");
    }

    /** A simulation run depends on its seed alone. */
    @Test
    void runsOfTheSameSeedAreIdentical() {
        for (long seed : List.of(1L, 2L, 3L, 4L, 5L)) {
            assertEquals(digest(seed), digest(seed), "seed " + seed);
        }
    }

    private static long digest(long seed) {
        History history = new History(seed);
        try {
            history.run();
        } catch (AssertionError failure) {
            return history.fleet().invariants().digest();
        }
        return history.fleet().invariants().digest();
    }
}
