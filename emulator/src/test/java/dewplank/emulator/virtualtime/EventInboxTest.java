package dewplank.emulator.virtualtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.balancer.Event;
import dewplank.balancer.Event.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which events a sidecar's balancer receives, and how often a tick is scheduled. */
class EventInboxTest {
    private static final Event FIRST = new TimerFired(1);
    private static final Event SECOND = new TimerFired(2);

    private int scheduledTicks;
    private final EventInbox inbox = new EventInbox(() -> scheduledTicks++);

    @Test
    void schedulesATickOncePerDrain() {
        inbox.add(FIRST);
        inbox.add(SECOND);
        assertEquals(1, scheduledTicks);
        assertEquals(List.of(FIRST, SECOND), inbox.drain());
        inbox.add(FIRST);
        assertEquals(2, scheduledTicks);
    }

    @Test
    void dropsEventsOfAnEarlierIncarnation() {
        int endedIncarnation = inbox.incarnation();
        inbox.add(FIRST);
        inbox.beginNextIncarnation();
        inbox.add(endedIncarnation, FIRST);
        inbox.add(inbox.incarnation(), SECOND);
        assertEquals(List.of(SECOND), inbox.drain());
    }
}
