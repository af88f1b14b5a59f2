package dewplank.emulator.loopback;

import dewplank.emulator.Scheduler;
import dewplank.net.EventLoop;

/** The event loop's clock, in Unix milliseconds. Measures the delays of its tasks. Used only on the loop's thread. */
final class RealTime implements Scheduler {
    private static final double SAMPLE_INTERVAL_MS = 20;
    private static final double LATE_THRESHOLD_MS = 25;
    private static final double MAX_LATENESS_MS = 300;
    private static final double MAX_LATE_FRACTION = 0.01;
    private static final double MIN_TIMER_MS = 0.02;

    private final EventLoop loop;
    private long sampleCount;
    private long lateCount;
    private double maxLatenessMs;
    private boolean discardsTasks;

    RealTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void after(double ms, Runnable task) {
        Runnable unlessDiscarded = () -> {
            if (!discardsTasks) {
                task.run();
            }
        };
        if (ms < MIN_TIMER_MS) {
            loop.execute(unlessDiscarded);
        } else {
            loop.afterExactly(ms, unlessDiscarded);
        }
    }

    /** Discards all scheduled and future tasks. */
    void discardTasks() {
        discardsTasks = true;
    }

    /** Starts the measurement of delays; called once. */
    void monitorLateness() {
        double dueAtMs = now() + SAMPLE_INTERVAL_MS;
        after(SAMPLE_INTERVAL_MS, () -> {
            double latenessMs = now() - dueAtMs;
            sampleCount++;
            lateCount += latenessMs > LATE_THRESHOLD_MS ? 1 : 0;
            maxLatenessMs = Math.max(maxLatenessMs, latenessMs);
            monitorLateness();
        });
    }

    double maxLatenessMs() {
        return maxLatenessMs;
    }

    /** Whether the emulator's delays were so long or so frequent that the figures do not describe the sidecars. */
    boolean isRunInvalid() {
        return maxLatenessMs > MAX_LATENESS_MS || lateCount > MAX_LATE_FRACTION * Math.max(100, sampleCount);
    }
}
