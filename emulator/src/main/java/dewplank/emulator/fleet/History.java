package dewplank.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** The events of all stand-ins, in order. Tests wait here for events and states; thread-safe. */
public final class History {
    private static final long AWAIT_TIMEOUT_S = 20;
    private static final long MAX_POLL_INTERVAL_MS = 100;

    private final List<FleetEvent> events = new ArrayList<>();
    private long listCallCount;

    synchronized void add(FleetEvent event) {
        events.add(event);
        if (event instanceof FleetEvent.EndpointListRequested) {
            listCallCount++;
        }
        notifyAll();
    }

    /** All events so far. */
    public synchronized List<FleetEvent> events() {
        return List.copyOf(events);
    }

    /** The events of one kind so far. */
    public <T extends FleetEvent> List<T> events(Class<T> kind) {
        return FleetEvent.only(events(), kind);
    }

    /**
     * Waits for an event, past or future.
     *
     * @param what names the event in the message of the exception
     * @throws TimeoutException when there is none within 20 s
     */
    public <T extends FleetEvent> T await(String what, Class<T> kind, Predicate<T> wanted)
            throws InterruptedException, TimeoutException {
        long deadlineNanos = deadlineFromNow();
        int next = 0;
        while (true) {
            List<FleetEvent> more = after(next, deadlineNanos, what);
            next += more.size();
            for (FleetEvent event : more) {
                if (kind.isInstance(event) && wanted.test(kind.cast(event))) {
                    return kind.cast(event);
                }
            }
        }
    }

    private synchronized List<FleetEvent> after(int seen, long deadlineNanos, String what)
            throws InterruptedException, TimeoutException {
        while (events.size() == seen) {
            waitUntil(deadlineNanos, what, Long.MAX_VALUE);
        }
        return List.copyOf(events.subList(seen, events.size()));
    }

    /**
     * Waits until a state is reached. Checks it after each call to the platform, as the fleet's state changes with
     * those, and at least every 100 ms.
     *
     * @throws TimeoutException when it is not reached within 20 s
     */
    public void awaitState(String what, BooleanSupplier state) throws InterruptedException, TimeoutException {
        long deadlineNanos = deadlineFromNow();
        while (!state.getAsBoolean()) {
            awaitListCall(deadlineNanos, what);
        }
    }

    private synchronized void awaitListCall(long deadlineNanos, String what)
            throws InterruptedException, TimeoutException {
        long before = listCallCount;
        long pollUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_POLL_INTERVAL_MS);
        while (listCallCount == before && System.nanoTime() < pollUntilNanos) {
            waitUntil(deadlineNanos, what, pollUntilNanos);
        }
    }

    @SuppressWarnings("WaitNotInLoop") // the callers loop
    private void waitUntil(long deadlineNanos, String what, long untilNanos)
            throws InterruptedException, TimeoutException {
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            throw new TimeoutException("did not come about within " + AWAIT_TIMEOUT_S + " s: " + what);
        }
        long maxWaitNanos = untilNanos == Long.MAX_VALUE
                ? remainingNanos
                : Math.min(remainingNanos, untilNanos - System.nanoTime());
        wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(maxWaitNanos)));
    }

    private static long deadlineFromNow() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_S);
    }
}
