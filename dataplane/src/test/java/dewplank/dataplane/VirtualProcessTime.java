package dewplank.dataplane;

import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * True time of a simulation, and the data plane's clock and tasks within it: that clock runs at its own rate, and while
 * the process is frozen its tasks wait. One thread; times in milliseconds.
 */
final class VirtualProcessTime {
    private record Event(double at, long order, boolean onDataPlane, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final double dataPlaneRate;
    private double now;
    private double thawsAt;
    private long eventsAdded;

    /** @param dataPlaneRate milliseconds by which the data plane's clock advances in a true one */
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

    /** The same in the data plane's process: once that is thawed. */
    void onDataPlaneAt(double trueMs, Runnable action) {
        events.add(new Event(trueMs, eventsAdded++, true, action));
    }

    /** The data plane's process stands still for so long. */
    void freezeDataPlane(double ms) {
        thawsAt = Math.max(thawsAt, now + ms);
    }

    /** Runs all that is due until then. */
    void runUntil(double trueMs) {
        while (!events.isEmpty() && events.peek().at() <= trueMs) {
            Event event = events.remove();
            if (event.onDataPlane() && event.at() < thawsAt) {
                events.add(new Event(thawsAt, event.order(), true, event.action()));
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
