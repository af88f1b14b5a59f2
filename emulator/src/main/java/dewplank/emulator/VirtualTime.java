package dewplank.emulator;

import java.util.Arrays;

/**
 * Discrete-event time: it jumps from one task to the next. A binary heap over arrays, ordered by time, then by turn.
 */
public final class VirtualTime implements Scheduler {
    private double[] times = new double[1024];
    private long[] turns = new long[1024];
    private Runnable[] tasks = new Runnable[1024];
    private int size;
    private long turn;
    private long ran;
    private double now;

    @Override
    public double now() {
        return now;
    }

    /** How many tasks have run: the events of a discrete-event simulation. */
    public long ran() {
        return ran;
    }

    @Override
    public void after(double ms, Runnable task) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            turns = Arrays.copyOf(turns, 2 * size);
            tasks = Arrays.copyOf(tasks, 2 * size);
        }
        put(size++, now + Math.max(0, ms), turn++, task);
    }

    /** Runs tasks until none is left or the next is later than {@code end}; the clock then stands at {@code end}. */
    public void runUntil(double end) {
        while (size > 0 && times[0] <= end) {
            now = times[0];
            Runnable task = tasks[0];
            size--;
            double time = times[size];
            long last = turns[size];
            Runnable moved = tasks[size];
            tasks[size] = null;
            if (size > 0) {
                sink(time, last, moved);
            }
            ran++;
            task.run();
        }
        now = Math.max(now, end);
    }

    private void put(int at, double time, long order, Runnable task) {
        int i = at;
        while (i > 0) {
            int parent = (i - 1) >>> 1;
            if (!before(time, order, parent)) {
                break;
            }
            move(parent, i);
            i = parent;
        }
        set(i, time, order, task);
    }

    private void sink(double time, long order, Runnable task) {
        int i = 0;
        while (2 * i + 1 < size) {
            int child = 2 * i + 1;
            if (child + 1 < size && before(times[child + 1], turns[child + 1], child)) {
                child++;
            }
            if (before(time, order, child)) {
                break;
            }
            move(child, i);
            i = child;
        }
        set(i, time, order, task);
    }

    private boolean before(double time, long order, int at) {
        return time < times[at] || time == times[at] && order < turns[at];
    }

    private void move(int from, int to) {
        set(to, times[from], turns[from], tasks[from]);
    }

    private void set(int at, double time, long order, Runnable task) {
        times[at] = time;
        turns[at] = order;
        tasks[at] = task;
    }
}
