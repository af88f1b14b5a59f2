package dewplank.emulator.virtualtime;

import dewplank.balancer.Event;
import java.util.ArrayList;
import java.util.List;

/**
 * The events queued for a sidecar's next tick. Each event belongs to one incarnation of the sidecar and is dropped if
 * that incarnation has ended, because the timers and connections of a killed process end with it. Confined to the
 * scheduler thread, except {@link #drain}, which the thread that runs the sidecar's balancer calls.
 */
final class EventInbox {
    private final Runnable onFirstEvent;
    private List<Event> events = new ArrayList<>();
    private boolean isTickScheduled;
    private int incarnation;

    /** {@code onFirstEvent} is called when the first event since the last tick arrives. */
    EventInbox(Runnable onFirstEvent) {
        this.onFirstEvent = onFirstEvent;
    }

    /** Number of the sidecar's current incarnation, from 0. */
    int incarnation() {
        return incarnation;
    }

    /** Ends the current incarnation and drops its events. */
    void beginNextIncarnation() {
        incarnation++;
        events.clear();
    }

    /** Adds an event of the current incarnation. */
    void add(Event event) {
        events.add(event);
        if (!isTickScheduled) {
            isTickScheduled = true;
            onFirstEvent.run();
        }
    }

    /** Adds an event of {@code eventIncarnation}, or drops it if that incarnation has ended. */
    void add(int eventIncarnation, Event event) {
        if (eventIncarnation == incarnation) {
            add(event);
        }
    }

    /** Removes and returns all events in order of arrival. */
    List<Event> drain() {
        List<Event> drained = events;
        events = new ArrayList<>();
        isTickScheduled = false;
        return drained;
    }
}
