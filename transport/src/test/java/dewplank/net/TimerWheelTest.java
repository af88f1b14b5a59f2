package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a timer wheel with 512 slots and ticks of 5 ms runs its tasks. */
class TimerWheelTest {
    private final TimerWheel wheel = new TimerWheel(1_000, 5);
    private final List<String> ran = new ArrayList<>();

    private void runAt(double now) {
        wheel.run(now, Runnable::run);
    }

    @Test
    void aTimerFiresOnceAtTheFirstTickAtOrAfterItsDueTime() {
        wheel.add(1_012, () -> ran.add("a"));
        runAt(1_014.9);
        assertEquals(List.of(), ran);
        runAt(1_015);
        runAt(9_000);
        assertEquals(List.of("a"), ran);
    }

    @Test
    void aTimerDueAfterMoreThanOneRevolutionWaits() {
        wheel.add(1_000 + 3 * 512 * 5, () -> ran.add("late"));
        runAt(1_000 + 3 * 512 * 5 - 1);
        assertEquals(List.of(), ran);
        runAt(1_000 + 3 * 512 * 5);
        assertEquals(List.of("late"), ran);
    }

    /**
     * After a pause, a call's timeout and its request's deadline are due in the same run. The timeout completes the
     * request and cancels the deadline timer, which must not respond a second time.
     */
    @Test
    void aTimerCancelledByOneDueInTheSameRunStaysCancelled() {
        TimerWheel.Timer deadline = wheel.add(1_020, () -> ran.add("deadline"));
        wheel.add(1_010, () -> {
            ran.add("timeout");
            deadline.cancel();
        });
        runAt(1_100);
        assertEquals(List.of("timeout"), ran);
    }
}
