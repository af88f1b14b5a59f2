package dewplank.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Timers with a resolution of one tick: a hashed timing wheel (Varghese and Lauck, SOSP 1987). A timer fires at the
 * first tick at or after its due time. Confined to one thread.
 */
public final class TimerWheel {
    private static final int SLOTS = 512;

    private final double tickMs;
    private final List<List<Timer>> slots = new ArrayList<>(SLOTS);
    private long currentTick;

    /** A timer of a wheel. */
    public static final class Timer implements Scheduler.Timer {
        private final long tick;
        private Runnable task;

        private Timer(long tick, Runnable task) {
            this.tick = tick;
            this.task = task;
        }

        /** Cancels the task; no effect after the timer has fired. */
        @Override
        public void cancel() {
            task = null;
        }
    }

    /** Creates a wheel that starts at {@code now}. Both parameters are in milliseconds. */
    public TimerWheel(double now, double tickMs) {
        this.tickMs = tickMs;
        this.currentTick = (long) Math.floor(now / tickMs);
        for (int i = 0; i < SLOTS; i++) {
            slots.add(new ArrayList<>());
        }
    }

    /** Adds a task that is due at {@code at}, in milliseconds on the same clock. */
    public Timer add(double at, Runnable task) {
        Timer timer = new Timer(Math.max(currentTick + 1, (long) Math.ceil(at / tickMs)), task);
        slots.get((int) (timer.tick % SLOTS)).add(timer);
        return timer;
    }

    /**
     * Runs all timers due by {@code now}, in the order of their ticks, including those that became due during a pause.
     * Each is checked immediately before it runs, as a timer that ran earlier in the same call may have cancelled it.
     */
    public void run(double now, Consumer<Runnable> runner) {
        List<Timer> due = new ArrayList<>();
        long targetTick = (long) Math.floor(now / tickMs);
        while (currentTick < targetTick) {
            currentTick++;
            slots.get((int) (currentTick % SLOTS)).removeIf(t -> {
                if (t.task != null && t.tick <= currentTick) {
                    due.add(t);
                }
                return t.task == null || t.tick <= currentTick;
            });
        }
        for (Timer t : due) {
            Runnable task = t.task;
            t.task = null;
            if (task != null) {
                runner.accept(task);
            }
        }
    }
}
