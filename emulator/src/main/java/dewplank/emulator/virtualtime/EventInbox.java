package dewplank.emulator.virtualtime;

import dewplank.balancer.Event;
import java.util.ArrayList;
import java.util.List;

/**
 * The events that wait for a sidecar's next tick. Each belongs to one incarnation of the sidecar: what reaches a later
 * one is dropped, as a killed process takes its timers and connections with it. On the world's thread, but for
 * {@link #drain}, which the thread calls that lets the sidecar decide.
 */
final class EventInbox {
    private final Runnable wake;
    private List<Event> events = new ArrayList<>();
    private boolean isScheduled;
    private int incarnation;

    /** {@code wake} is called when the first event since the last tick arrives. */
    EventInbox(Runnable wake) {
        this.wake = wake;
    }

    /** The number of the sidecar's incarnation, from 0. */
    int incarnation() {
        return incarnation;
    }

    /** Ends the incarnation and drops its events. */
    void beginNextIncarnation() {
        incarnation++;
        events.clear();
    }

    /** Adds an event of the present incarnation. */
    void add(Event event) {
        events.add(event);
        if (!isScheduled) {
            isScheduled = true;
            wake.run();
        }
    }

    /** Adds an event that was caused in {@code eventIncarnation}; drops it where that one has ended. */
    void add(int eventIncarnation, Event event) {
        if (eventIncarnation == incarnation) {
            add(event);
        }
    }

    /** Takes all events in their order of arrival. */
    List<Event> drain() {
        List<Event> drained = events;
        events = new ArrayList<>();
        isScheduled = false;
        return drained;
    }
}
