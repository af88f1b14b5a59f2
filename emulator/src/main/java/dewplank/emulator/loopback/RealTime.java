package dewplank.emulator.loopback;

import dewplank.emulator.Scheduler;
import dewplank.net.EventLoop;

/** The loop's clock: Unix milliseconds. Watches how late its own tasks run. */
final class RealTime implements Scheduler {
    private static final double LOOK_MS = 20;
    private static final double LATE_MS = 25;
    private static final double VERY_LATE_MS = 300;
    private static final double LATE_PART = 0.01;
    private static final double AT_ONCE_MS = 0.02;

    private final EventLoop loop;
    private long looks;
    private long late;
    private double latest;
    private boolean over;

    RealTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void after(double ms, Runnable task) {
        Runnable unlessOver = () -> {
            if (!over) {
                task.run();
            }
        };
        if (ms < AT_ONCE_MS) {
            loop.execute(unlessOver);
        } else {
            loop.afterExactly(ms, unlessOver);
        }
    }

    /** Nothing given so far, or later, runs from here on. */
    void end() {
        over = true;
    }

    void watch() {
        double due = now() + LOOK_MS;
        after(LOOK_MS, () -> {
            double behind = now() - due;
            looks++;
            late += behind > LATE_MS ? 1 : 0;
            latest = Math.max(latest, behind);
            watch();
        });
    }

    double latestMs() {
        return latest;
    }

    /** Whether the emulator came too late, too often, for its figures to say anything of a sidecar. */
    boolean unsound() {
        return latest > VERY_LATE_MS || late > LATE_PART * Math.max(100, looks);
    }
}
