package dewplank.balancer;

import java.util.function.Consumer;

/**
 * Decides for one client-side load balancer: which server gets which request, when an attempt is repeated,
 * hedged or cancelled, and which requests are rejected.
 *
 * <p>The host calls {@link #handle} with one {@link Event} after another and carries out the {@link
 * Action}s in the order in which they are emitted. All times are in milliseconds on the host's own clock,
 * which never goes back.
 *
 * <p>An implementation is not thread-safe: the host makes all calls from one thread, and no call may be
 * made from within another. It reads no clock, does no I/O and draws random numbers only from the generator
 * that it was given, so that equal events give equal actions.
 */
public interface Balancer {

    /**
     * Takes one event and emits the actions that it calls for.
     *
     * @param nowMs the host's time, not before that of the last call
     * @param event what has happened
     * @param actions takes each action at that moment; must not call back into this balancer
     * @throws IllegalArgumentException if a request is of a class that the settings do not name
     */
    void handle(double nowMs, Event event, Consumer<Action> actions);
}
