package dewplank.balancer;

import java.util.function.Consumer;

/**
 * Makes the decisions of one client-side load balancer: the server of each request, retries, hedges,
 * cancellations and rejections.
 *
 * <p>The host calls {@link #handle} with one {@link Event} at a time and carries out the {@link Action}s in
 * the order of emission. All times are in milliseconds on the host's monotonic clock.
 *
 * <p>An implementation is not thread-safe: the host makes all calls from one thread, and calls must not be
 * nested. It reads no clock, does no I/O and draws random numbers only from the generator passed to it, so
 * that equal events give equal actions.
 */
public interface Balancer {

    /**
     * Handles one event and emits the resulting actions.
     *
     * @param nowMs the host's time, not before that of the previous call
     * @param event the event to handle
     * @param actions receives each action during this call; must not call this balancer
     * @throws IllegalArgumentException if the class of a request is not in the settings
     */
    void handle(double nowMs, Event event, Consumer<Action> actions);
}
