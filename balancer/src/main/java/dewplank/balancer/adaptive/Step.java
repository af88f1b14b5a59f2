package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Action.SetTimer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The event that is being handled: its time, the receiver of its actions, and the tasks that wait for a
 * timer.
 */
final class Step {
    private final Map<Long, Runnable> tasks = new HashMap<>();
    private long lastTimer;
    private double nowMs;
    private Consumer<Action> actions;

    /** Begins the next event; the time is constant until the next call. */
    void begin(double time, Consumer<Action> out) {
        nowMs = time;
        actions = out;
    }

    double nowMs() {
        return nowMs;
    }

    void emit(Action action) {
        actions.accept(action);
    }

    /** Runs the task in a later event, after the delay. */
    void schedule(double delayMs, Runnable task) {
        tasks.put(++lastTimer, task);
        emit(new SetTimer(lastTimer, delayMs));
    }

    /** Runs the timer's task; a timer that has already fired is ignored. */
    void fire(long timer) {
        Runnable task = tasks.remove(timer);
        if (task != null) {
            task.run();
        }
    }
}
