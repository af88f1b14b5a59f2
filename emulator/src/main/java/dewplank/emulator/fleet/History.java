package dewplank.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** All that the stand-ins saw, in order; whoever waits for something waits here for the event that tells it. */
public final class History {
    private static final long PATIENCE_S = 20;
    private static final long LOOK_AT_LEAST_EVERY_MS = 100;

    private final List<FleetEvent> events = new ArrayList<>();
    private long listCalls;

    synchronized void add(FleetEvent event) {
        events.add(event);
        if (event instanceof FleetEvent.EndpointListRequested) {
            listCalls++;
        }
        notifyAll();
    }

    public synchronized List<FleetEvent> events() {
        return List.copyOf(events);
    }

    /** Events of one kind so far. */
    public <T extends FleetEvent> List<T> events(Class<T> kind) {
        return FleetEvent.only(events(), kind);
    }

    /** Waits for an event, among those that were and those to come. */
    public <T extends FleetEvent> T await(String what, Class<T> kind, Predicate<T> wanted)
            throws InterruptedException, TimeoutException {
        long deadline = deadline();
        int next = 0;
        while (true) {
            List<FleetEvent> more = after(next, deadline, what);
            next += more.size();
            for (FleetEvent event : more) {
                if (kind.isInstance(event) && wanted.test(kind.cast(event))) {
                    return kind.cast(event);
                }
            }
        }
    }

    private synchronized List<FleetEvent> after(int seen, long deadline, String what)
            throws InterruptedException, TimeoutException {
        while (events.size() == seen) {
            waitUntil(deadline, what, Long.MAX_VALUE);
        }
        return List.copyOf(events.subList(seen, events.size()));
    }

    /**
     * Waits until a state that is asked for holds. It is asked for anew whenever the platform has been called: the beat
     * at which the fleet learns.
     */
    public void awaitState(String what, BooleanSupplier state) throws InterruptedException, TimeoutException {
        long deadline = deadline();
        while (!state.getAsBoolean()) {
            awaitListCall(deadline, what);
        }
    }

    private synchronized void awaitListCall(long deadline, String what) throws InterruptedException, TimeoutException {
        long before = listCalls;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOOK_AT_LEAST_EVERY_MS);
        while (listCalls == before && System.nanoTime() < until) {
            waitUntil(deadline, what, until);
        }
    }

    @SuppressWarnings("WaitNotInLoop") // the callers loop
    private void waitUntil(long deadline, String what, long atMost) throws InterruptedException, TimeoutException {
        long left = deadline - System.nanoTime();
        if (left <= 0) {
            throw new TimeoutException("did not come about within " + PATIENCE_S + " s: " + what);
        }
        long most = atMost == Long.MAX_VALUE ? left : Math.min(left, atMost - System.nanoTime());
        wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(most)));
    }

    private static long deadline() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
    }
}
