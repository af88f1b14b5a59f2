package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock with timers that begins at 0 and moves only when the test moves it, on its thread. In milliseconds. */
final class VirtualTime implements Scheduler {
    /** A task and its time; those of one time run in the order in which they were added. */
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

    /** Moves the clock on by so much; all timers within that time run. */
    void run(double ms) {
        double end = now + ms;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            task.action().run();
        }
        now = end;
    }
}
