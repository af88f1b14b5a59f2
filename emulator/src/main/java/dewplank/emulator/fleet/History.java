package dewplank.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Records the events of all stand-ins in order, and lets tests wait for events and states. Thread-safe. */
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

    /** Returns all events recorded so far. */
    public synchronized List<FleetEvent> events() {
        return List.copyOf(events);
    }

    /** Returns the events of one type recorded so far. */
    public <T extends FleetEvent> List<T> events(Class<T> type) {
        return FleetEvent.ofType(events(), type);
    }

    /**
     * Waits until the history contains an event that matches; it may have been recorded before the call.
     *
     * @param description describes the event in the exception message
     * @throws TimeoutException if there is none within 20 s
     */
    public <T extends FleetEvent> T await(String description, Class<T> type, Predicate<T> condition)
            throws InterruptedException, TimeoutException {
        long deadlineNanos = deadlineFromNow();
        int next = 0;
        while (true) {
            List<FleetEvent> more = awaitEventsAfter(next, deadlineNanos, description);
            next += more.size();
            for (FleetEvent event : more) {
                if (type.isInstance(event) && condition.test(type.cast(event))) {
                    return type.cast(event);
                }
            }
        }
    }

    private synchronized List<FleetEvent> awaitEventsAfter(int checkedCount, long deadlineNanos, String description)
            throws InterruptedException, TimeoutException {
        while (events.size() == checkedCount) {
            waitUntil(deadlineNanos, description, Long.MAX_VALUE);
        }
        return List.copyOf(events.subList(checkedCount, events.size()));
    }

    /**
     * Waits until a state is reached. Checks the state after each call to the platform, because the fleet's state
     * changes with these calls, and at least every 100 ms.
     *
     * @throws TimeoutException if the state is not reached within 20 s
     */
    public void awaitState(String description, BooleanSupplier state) throws InterruptedException, TimeoutException {
        long deadlineNanos = deadlineFromNow();
        while (!state.getAsBoolean()) {
            awaitListCall(deadlineNanos, description);
        }
    }

    private synchronized void awaitListCall(long deadlineNanos, String description)
            throws InterruptedException, TimeoutException {
        long before = listCallCount;
        long pollUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_POLL_INTERVAL_MS);
        while (listCallCount == before && System.nanoTime() < pollUntilNanos) {
            waitUntil(deadlineNanos, description, pollUntilNanos);
        }
    }

    @SuppressWarnings("WaitNotInLoop") // the callers wait in a loop
    private void waitUntil(long deadlineNanos, String description, long untilNanos)
            throws InterruptedException, TimeoutException {
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            throw new TimeoutException("condition not met within " + AWAIT_TIMEOUT_S + " s: " + description);
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
