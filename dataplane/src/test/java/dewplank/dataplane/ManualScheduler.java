package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A scheduler whose clock moves only when the test moves it. Its tasks run on the event loop's thread, and so must
 * all calls but that of {@link #now}. Times in milliseconds.
 */
final class ManualScheduler implements Scheduler {
    private static final double START_MS = 1_000_000;

    /** A task and its time; those of one time run in the order in which they were added. */
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

    /** Moves the clock on by so much while no task runs, as for a process that is frozen; they run late. */
    void standStill(double ms) {
        double until = now + ms;
        now = until;
    }

    /** Moves the clock to the next task's time, if that is not past {@code until}, and runs it; else to that time. */
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
