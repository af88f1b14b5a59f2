package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;

/** Runs a task when nothing has come for long; started anew with each piece of a stream. */
final class StallTimer {
    private final EventLoop loop;
    private final Runnable stalled;
    /** Null before the first start. */
    private TimerWheel.Timer timer;

    StallTimer(EventLoop loop, Runnable stalled) {
        this.loop = loop;
        this.stalled = stalled;
    }

    void restart(double timeoutMs) {
        cancel();
        timer = loop.after(timeoutMs, stalled);
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
