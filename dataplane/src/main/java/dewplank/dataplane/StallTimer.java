package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;

/** Runs a task if no data arrives within a timeout; it is restarted with each part of a stream. */
final class StallTimer {
    private final EventLoop loop;
    private final Runnable onStall;
    /** Null before the first start. */
    private TimerWheel.Timer timer;

    StallTimer(EventLoop loop, Runnable onStall) {
        this.loop = loop;
        this.onStall = onStall;
    }

    void restart(double timeoutMs) {
        cancel();
        timer = loop.after(timeoutMs, onStall);
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
