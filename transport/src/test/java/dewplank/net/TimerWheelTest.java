package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a wheel of 512 slots with ticks of 5 ms runs its tasks. */
class TimerWheelTest {
    private final TimerWheel wheel = new TimerWheel(1_000, 5);
    private final List<String> ran = new ArrayList<>();

    private void runAt(double now) {
        wheel.run(now, Runnable::run);
    }

    @Test
    void aTimerFiresInTheFirstTickAtOrPastItsTimeAndOnlyOnce() {
        wheel.add(1_012, () -> ran.add("a"));
        runAt(1_014.9);
        assertEquals(List.of(), ran);
        runAt(1_015);
        runAt(9_000);
        assertEquals(List.of("a"), ran);
    }

    @Test
    void aTimerBeyondOneTurnOfTheWheelWaits() {
        wheel.add(1_000 + 3 * 512 * 5, () -> ran.add("late"));
        runAt(1_000 + 3 * 512 * 5 - 1);
        assertEquals(List.of(), ran);
        runAt(1_000 + 3 * 512 * 5);
        assertEquals(List.of("late"), ran);
    }

    /**
     * After a pause a call's time-out and its request's last resort are due together;
     * the first leads to the final answer and cancels the second, which must not answer once more.
     */
    @Test
    void aTimerCancelledByOneDueInTheSameRunStaysCancelled() {
        TimerWheel.Timer lastResort = wheel.add(1_020, () -> ran.add("last resort"));
        wheel.add(1_010, () -> {
            ran.add("time-out");
            lastResort.cancel();
        });
        runAt(1_100);
        assertEquals(List.of("time-out"), ran);
    }
}
