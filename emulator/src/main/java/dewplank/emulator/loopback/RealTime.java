package dewplank.emulator.loopback;

import dewplank.emulator.Scheduler;
import dewplank.net.EventLoop;

/** The loop's clock, in Unix milliseconds. Measures how late its own tasks run. On the loop's thread. */
final class RealTime implements Scheduler {
    private static final double SAMPLE_INTERVAL_MS = 20;
    private static final double LATE_THRESHOLD_MS = 25;
    private static final double MAX_LATENESS_MS = 300;
    private static final double MAX_LATE_SHARE = 0.01;
    private static final double MIN_TIMER_MS = 0.02;

    private final EventLoop loop;
    private long sampleCount;
    private long lateCount;
    private double maxLatenessMs;
    private boolean hasEnded;

    RealTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void after(double ms, Runnable task) {
        Runnable unlessEnded = () -> {
            if (!hasEnded) {
                task.run();
            }
        };
        if (ms < MIN_TIMER_MS) {
            loop.execute(unlessEnded);
        } else {
            loop.afterExactly(ms, unlessEnded);
        }
    }

    /** Drops all tasks, scheduled and future ones. */
    void end() {
        hasEnded = true;
    }

    /** Starts to measure lateness; called once. */
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

    /** Whether the emulator ran so late, or late so often, that the figures do not describe the sidecars. */
    boolean isUnsound() {
        return maxLatenessMs > MAX_LATENESS_MS || lateCount > MAX_LATE_SHARE * Math.max(100, sampleCount);
    }
}
