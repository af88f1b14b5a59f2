package dewplank.dataplane;

import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The true time of a simulation, and the clock and tasks of a data plane in it: the clock runs at a configurable rate,
 * and the tasks wait while the process is paused. Single-threaded; times are in milliseconds.
 */
final class VirtualProcessTime {
    private record Event(double at, long order, boolean onDataPlane, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final double dataPlaneRate;
    private double now;
    private double resumesAt;
    private long eventsAdded;

    /** @param dataPlaneRate advance of the data plane's clock per millisecond of true time */
    VirtualProcessTime(double dataPlaneRate) {
        this.dataPlaneRate = dataPlaneRate;
    }

    /** True time since the start. */
    double now() {
        return now;
    }

    /** Runs the action at that true time. */
    void at(double trueMs, Runnable action) {
        events.add(new Event(trueMs, eventsAdded++, false, action));
    }

    /** Runs the action in the data plane's process at that true time, or when the process resumes. */
    void onDataPlaneAt(double trueMs, Runnable action) {
        events.add(new Event(trueMs, eventsAdded++, true, action));
    }

    /** Pauses the data plane's process for this time. */
    void pauseDataPlane(double ms) {
        resumesAt = Math.max(resumesAt, now + ms);
    }

    /** Runs all events that are due by that true time. */
    void runUntil(double trueMs) {
        while (!events.isEmpty() && events.peek().at() <= trueMs) {
            Event event = events.remove();
            if (event.onDataPlane() && event.at() < resumesAt) {
                events.add(new Event(resumesAt, event.order(), true, event.action()));
            } else {
                now = event.at();
                event.action().run();
            }
        }
        now = trueMs;
    }

    /** The data plane's scheduler. */
    Scheduler dataPlane() {
        return new DataPlaneScheduler();
    }

    private final class DataPlaneScheduler implements Scheduler {
        @Override
        public double now() {
            return now * dataPlaneRate;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            boolean[] cancelled = {false};
            onDataPlaneAt(now + ms / dataPlaneRate, () -> {
                if (!cancelled[0]) {
                    task.run();
                }
            });
            return () -> cancelled[0] = true;
        }

        @Override
        public void execute(Runnable task) {
            onDataPlaneAt(now, task);
        }
    }
}
