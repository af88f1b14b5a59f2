package dewplank.simulation;

import dewplank.net.Scheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.MDC;

/**
 * One incarnation of a process: its one thread, its steady clock and its timers. Frozen, it runs nothing while its
 * clock goes on; what became due meanwhile is run when it thaws, timers before or behind what came over links.
 */
public final class ProcessIncarnation implements Scheduler {
    /** As the event loop's wheel: a timer fires at the first tick past its time. */
    private static final double TICK_MS = 5;

    private static final boolean LOGS = System.getProperty("simulation.log") != null;

    private static final class Waiting implements Timer {
        private Runnable task;

        Waiting(Runnable task) {
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
    private final double phase;
    private final Runnable afterEachStep;
    private final Deque<Runnable> pendingTimers = new ArrayDeque<>();
    private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
    private boolean frozen;
    private boolean over;

    ProcessIncarnation(VirtualTime time, String name, SplittableRandom random, Runnable afterEachStep) {
        this.time = time;
        this.name = name;
        this.clockOffset = 1_000 + random.nextInt(1_000_000); // each incarnation's clock begins anywhere
        this.phase = random.nextDouble() * TICK_MS;
        this.afterEachStep = afterEachStep;
    }

    @Override
    public double now() {
        return time.now() + clockOffset;
    }

    @Override
    public Timer after(double ms, Runnable task) {
        Waiting timer = new Waiting(task);
        double ticks = Math.ceil((time.now() + Math.max(0, ms) - phase) / TICK_MS);
        time.at(Math.max(phase + ticks * TICK_MS, time.now() + TICK_MS / 2), () -> due(timer));
        return timer;
    }

    private void due(Waiting timer) {
        if (frozen && !over) {
            pendingTimers.add(() -> due(timer));
            return;
        }
        Runnable task = timer.task;
        timer.task = null;
        if (task != null) {
            step(task);
        }
    }

    @Override
    public void execute(Runnable task) {
        time.after(0, () -> run(task));
    }

    /** Something has come from outside: the task runs now, or when the process thaws. */
    public void run(Runnable task) {
        if (frozen && !over) {
            pendingEvents.add(task);
        } else {
            step(task);
        }
    }

    private void step(Runnable task) {
        if (over) {
            return;
        }
        if (LOGS) {
            MDC.put("host", name);
            MDC.put("at", String.format("%.1f", time.now()));
        }
        task.run();
        afterEachStep.run();
    }

    void freeze() {
        frozen = true;
    }

    void thaw(boolean timersFirst) {
        frozen = false;
        List<Runnable> due = new ArrayList<>(timersFirst ? pendingTimers : pendingEvents);
        due.addAll(timersFirst ? pendingEvents : pendingTimers);
        pendingTimers.clear();
        pendingEvents.clear();
        due.forEach(this::run);
    }

    /** Nothing runs any more. */
    void end() {
        over = true;
        pendingTimers.clear();
        pendingEvents.clear();
    }

    boolean isOver() {
        return over;
    }

    boolean isFrozen() {
        return frozen;
    }
}
