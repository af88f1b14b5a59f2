package dewplank.simulation;

import dewplank.net.Scheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.MDC;

/**
 * One incarnation of a process, with its single thread, its monotonic clock and its timers. A paused process runs no
 * tasks while its clock advances. When it resumes, it runs the tasks that became due, the timers either before or after
 * the events from outside.
 */
public final class ProcessIncarnation implements Scheduler {
    /**
     * Resolution of the timers. As with the event loop's timer wheel, a timer fires at the first tick at or after its
     * due time.
     */
    private static final double TICK_MS = 5;

    private static final boolean LOG_ENABLED = System.getProperty("simulation.log") != null;

    private static final class PendingTimer implements Timer {
        private Runnable task;

        PendingTimer(Runnable task) {
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }
    }

    private final VirtualTime time;
    private final String name;
    private final double clockOffset;
    private final double tickPhaseMs;
    private final Runnable afterEachTask;
    private final Deque<Runnable> pendingTimers = new ArrayDeque<>();
    private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
    private boolean paused;
    private boolean ended;

    ProcessIncarnation(VirtualTime time, String name, SplittableRandom random, Runnable afterEachTask) {
        this.time = time;
        this.name = name;
        this.clockOffset = 1_000 + random.nextInt(1_000_000); // each incarnation has a random clock origin
        this.tickPhaseMs = random.nextDouble() * TICK_MS;
        this.afterEachTask = afterEachTask;
    }

    @Override
    public double now() {
        return time.now() + clockOffset;
    }

    @Override
    public Timer after(double ms, Runnable task) {
        PendingTimer timer = new PendingTimer(task);
        double ticks = Math.ceil((time.now() + Math.max(0, ms) - tickPhaseMs) / TICK_MS);
        time.at(Math.max(tickPhaseMs + ticks * TICK_MS, time.now() + TICK_MS / 2), () -> fire(timer));
        return timer;
    }

    private void fire(PendingTimer timer) {
        if (paused && !ended) {
            pendingTimers.add(() -> fire(timer));
            return;
        }
        Runnable task = timer.task;
        timer.task = null;
        if (task != null) {
            runTask(task);
        }
    }

    @Override
    public void execute(Runnable task) {
        time.after(0, () -> deliver(task));
    }

    /** Runs a task for an event from outside, either now or when the process resumes. */
    public void deliver(Runnable task) {
        if (paused && !ended) {
            pendingEvents.add(task);
        } else {
            runTask(task);
        }
    }

    private void runTask(Runnable task) {
        if (ended) {
            return;
        }
        if (LOG_ENABLED) {
            MDC.put("host", name);
            MDC.put("at", String.format("%.1f", time.now()));
        }
        task.run();
        afterEachTask.run();
    }

    void pause() {
        paused = true;
    }

    void resume(boolean timersFirst) {
        paused = false;
        List<Runnable> tasks = new ArrayList<>(timersFirst ? pendingTimers : pendingEvents);
        tasks.addAll(timersFirst ? pendingEvents : pendingTimers);
        pendingTimers.clear();
        pendingEvents.clear();
        tasks.forEach(this::deliver);
    }

    /** Terminates the incarnation: no task runs after this. */
    void end() {
        ended = true;
        pendingTimers.clear();
        pendingEvents.clear();
    }

    boolean hasEnded() {
        return ended;
    }

    boolean isPaused() {
        return paused;
    }
}
