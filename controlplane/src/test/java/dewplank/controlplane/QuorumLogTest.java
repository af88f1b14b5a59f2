package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.controlplane.QuorumLog.Transition;
import dewplank.net.Scheduler;
import org.junit.jupiter.api.Test;

class QuorumLogTest {
    private double now = 1_000;
    private boolean quorate;
    private final QuorumLog log = new QuorumLog(new ManualClock(), () -> quorate);

    private final class ManualClock implements Scheduler {
        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            return () -> {};
        }

        @Override
        public void execute(Runnable task) {}
    }

    private Transition checkAt(double atMs, boolean isQuorate) {
        now = atMs;
        quorate = isQuorate;
        return log.check();
    }

    @Test
    void logsEachLossAndEachRecoveryOnce() {
        assertEquals(Transition.NONE, checkAt(1_000, false), "no quorum can be lost before the first one");
        assertEquals(Transition.REGAINED, checkAt(1_250, true));
        assertEquals(Transition.NONE, checkAt(1_500, true));
        assertEquals(Transition.LOST, checkAt(1_750, false));
        assertEquals(Transition.NONE, checkAt(2_000, false));
        assertEquals(Transition.REGAINED, checkAt(9_000, true));
        assertEquals(Transition.LOST, checkAt(9_250, false));
    }
}
