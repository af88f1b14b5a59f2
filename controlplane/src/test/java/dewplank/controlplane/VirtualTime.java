package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock with timers, in milliseconds. It starts at 0, and only the test advances it, on the test's thread. */
final class VirtualTime implements Scheduler {
    /** A task and its due time; tasks with the same due time run in the order in which they were added. */
    private record Task(double at, long order, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private double now;
    private long order;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer after(double ms, Runnable action) {
        Task task = new Task(now + ms, order++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    @Override
    public void execute(Runnable task) {
        after(0, task);
    }

    /** Advances the clock by the given time and runs all tasks that become due. */
    void advance(double ms) {
        double end = now + ms;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            task.action().run();
        }
        now = end;
    }
}
