package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Action.SetTimer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The event being handled: its time, where its actions go, and the tasks that wait for a timer. */
final class Step {
    private final Map<Long, Runnable> tasks = new HashMap<>();
    private long lastTimer;
    private double nowMs;
    private Consumer<Action> actions;

    /** Begins the next event; all that follows until the next call happens at this time. */
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

    /** Runs the task as an event of its own after this time. */
    void schedule(double delayMs, Runnable task) {
        tasks.put(++lastTimer, task);
        emit(new SetTimer(lastTimer, delayMs));
    }

    /** Runs the timer's task; a timer that has fired already is ignored. */
    void fire(long timer) {
        Runnable task = tasks.remove(timer);
        if (task != null) {
            task.run();
        }
    }
}
