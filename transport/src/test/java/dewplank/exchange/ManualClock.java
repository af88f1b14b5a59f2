package dewplank.exchange;

import dewplank.net.Scheduler;

/** A clock that the test advances. It has no timers and no thread. */
final class ManualClock implements Scheduler {
    private double now = 1_000_000;

    synchronized void advance(double ms) {
        now += ms;
    }

    @Override
    public synchronized double now() {
        return now;
    }

    @Override
    public Timer after(double ms, Runnable task) {
        throw new UnsupportedOperationException("no timers");
    }

    @Override
    public void execute(Runnable task) {
        throw new UnsupportedOperationException("no thread");
    }
}
