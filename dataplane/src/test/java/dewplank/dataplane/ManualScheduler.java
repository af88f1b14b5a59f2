package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A scheduler whose clock is advanced only by the test. Its tasks run on the event loop's thread, where all methods but
 * {@link #now} must be called. Times are in milliseconds.
 */
final class ManualScheduler implements Scheduler {
    private static final double START_MS = 1_000_000;

    /** A task and its due time; tasks with the same due time run in the order in which they were added. */
    private record ScheduledTask(double dueAt, long order, Runnable task) {}

    private final EventLoop loop;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::order));
    private volatile double now = START_MS;
    private long tasksAdded;

    ManualScheduler(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer after(double ms, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(now + ms, tasksAdded++, task);
        tasks.add(scheduled);
        return () -> tasks.remove(scheduled);
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    /** Advances the clock without running tasks, as in a paused process; the tasks that become due run late. */
    void pause(double ms) {
        double until = now + ms;
        now = until;
    }

    /** Advances the clock to the next task's due time and runs it, or to {@code until} if no task is due by then. */
    void advance(double until) {
        ScheduledTask next = tasks.peek();
        if (next == null || next.dueAt() > until) {
            now = Math.max(now, until);
            return;
        }
        tasks.remove();
        now = Math.max(now, next.dueAt());
        next.task().run();
    }
}
