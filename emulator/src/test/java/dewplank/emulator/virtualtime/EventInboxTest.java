package dewplank.emulator.virtualtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.balancer.Event;
import dewplank.balancer.Event.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which events reach a sidecar's balancer, and how often its tick is asked for. */
class EventInboxTest {
    private static final Event FIRST = new TimerFired(1);
    private static final Event SECOND = new TimerFired(2);

    private int wakeCount;
    private final EventInbox inbox = new EventInbox(() -> wakeCount++);

    @Test
    void wakesTheSidecarOncePerTick() {
        inbox.add(FIRST);
        inbox.add(SECOND);
        assertEquals(1, wakeCount);
        assertEquals(List.of(FIRST, SECOND), inbox.drain());
        inbox.add(FIRST);
        assertEquals(2, wakeCount);
    }

    @Test
    void dropsEventsOfAnEarlierIncarnation() {
        int killed = inbox.incarnation();
        inbox.add(FIRST);
        inbox.beginNextIncarnation();
        inbox.add(killed, FIRST);
        inbox.add(inbox.incarnation(), SECOND);
        assertEquals(List.of(SECOND), inbox.drain());
    }
}
