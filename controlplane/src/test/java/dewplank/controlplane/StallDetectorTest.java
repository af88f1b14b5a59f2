package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.net.Scheduler;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StallDetectorTest {
    /** A scheduler whose clock the test sets and whose tasks the test runs. */
    private static final class ManualScheduler implements Scheduler {
        private double now;
        private final List<Runnable> tasks = new ArrayList<>();

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            tasks.add(task);
            return () -> tasks.remove(task);
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        void advanceTo(double at) {
            now = at;
            List<Runnable> due = List.copyOf(tasks);
            tasks.clear();
            due.forEach(Runnable::run);
        }
    }

    private final ManualScheduler loop = new ManualScheduler();
    private final List<Double> stalls = new ArrayList<>();
    private final StallDetector detector = new StallDetector(loop, stalls::add);

    @Test
    void regularChecksReportNoStall() {
        detector.start();
        for (double at = 50; at <= 1_000; at += 60) {
            loop.advanceTo(at);
        }
        assertEquals(List.of(), stalls);
    }

    /** A check within the long task reports the stall before the timer fires, and only once. */
    @Test
    void theFirstCheckAfterALongDelayReportsItOnce() {
        detector.start();
        loop.advanceTo(50);
        loop.now = 1_250;
        detector.check();
        detector.check();
        loop.advanceTo(1_260);
        assertEquals(List.of(1_200.0), stalls);
    }
}
