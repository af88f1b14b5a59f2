package dewplank.emulator;

import java.util.Arrays;

/**
 * The clock of a discrete-event simulation, which advances to the time of the next task. Tasks are stored in a binary
 * heap over parallel arrays, ordered by time, then by scheduling order; no object is allocated per task.
 */
public final class VirtualTime implements Scheduler {
    private static final int INITIAL_CAPACITY = 1024;

    private double[] times = new double[INITIAL_CAPACITY];
    private long[] orders = new long[INITIAL_CAPACITY];
    private Runnable[] tasks = new Runnable[INITIAL_CAPACITY];
    private int size;
    private long nextOrder;
    private long tasksRun;
    private double now;

    @Override
    public double now() {
        return now;
    }

    /** Number of tasks that have run, that is, of simulated events. */
    public long tasksRun() {
        return tasksRun;
    }

    @Override
    public void after(double ms, Runnable task) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            tasks = Arrays.copyOf(tasks, 2 * size);
        }
        siftUp(size++, now + Math.max(0, ms), nextOrder++, task);
    }

    /** Runs all tasks that are due up to {@code end}, then sets the clock to {@code end}. */
    public void runUntil(double end) {
        while (size > 0 && times[0] <= end) {
            now = times[0];
            Runnable task = removeFirst();
            tasksRun++;
            task.run();
        }
        now = Math.max(now, end);
    }

    private Runnable removeFirst() {
        Runnable first = tasks[0];
        size--;
        double time = times[size];
        long order = orders[size];
        Runnable last = tasks[size];
        tasks[size] = null;
        if (size > 0) {
            siftDown(time, order, last);
        }
        return first;
    }

    private void siftUp(int from, double time, long order, Runnable task) {
        int i = from;
        while (i > 0) {
            int parent = (i - 1) >>> 1;
            if (!isBefore(time, order, parent)) {
                break;
            }
            move(parent, i);
            i = parent;
        }
        set(i, time, order, task);
    }

    private void siftDown(double time, long order, Runnable task) {
        int i = 0;
        while (2 * i + 1 < size) {
            int child = 2 * i + 1;
            if (child + 1 < size && isBefore(times[child + 1], orders[child + 1], child)) {
                child++;
            }
            if (isBefore(time, order, child)) {
                break;
            }
            move(child, i);
            i = child;
        }
        set(i, time, order, task);
    }

    private boolean isBefore(double time, long order, int index) {
        return time < times[index] || time == times[index] && order < orders[index];
    }

    private void move(int from, int to) {
        set(to, times[from], orders[from], tasks[from]);
    }

    private void set(int index, double time, long order, Runnable task) {
        times[index] = time;
        orders[index] = order;
        tasks[index] = task;
    }
}
