package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.net.Scheduler;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StallDetectorTest {
    /** A clock that is set, and tasks that are run, by the test. */
    private static final class Hand implements Scheduler {
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

        void turn(double at) {
            now = at;
            List<Runnable> due = List.copyOf(tasks);
            tasks.clear();
            due.forEach(Runnable::run);
        }
    }

    private final Hand loop = new Hand();
    private final List<Double> stalls = new ArrayList<>();
    private final StallDetector detector = new StallDetector(loop, stalls::add);

    @Test
    void checksInTimeReportNoStall() {
        detector.start();
        for (double at = 50; at <= 1_000; at += 60) {
            loop.turn(at);
        }
        assertEquals(List.of(), stalls);
    }

    /** Within one long task: before the timer has had a turn, and once only. */
    @Test
    void aLongTaskIsReportedOnceByTheFirstCheck() {
        detector.start();
        loop.turn(50);
        loop.now = 1_250;
        detector.check();
        detector.check();
        loop.turn(1_260);
        assertEquals(List.of(1_200.0), stalls);
    }
}
