package dewplank.simulation;

import java.util.PriorityQueue;

/** Virtual time in milliseconds. Events run in order of their time, events of the same time in order of insertion. */
public final class VirtualTime {
    private record Event(double at, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long addedCount;
    private long executedCount;

    public double now() {
        return now;
    }

    /** The number of events that have run. */
    public long executedCount() {
        return executedCount;
    }

    /** Schedules a task to run after the given delay. */
    public void after(double delayMs, Runnable task) {
        at(now + delayMs, task);
    }

    /** Schedules a task to run at the given time, or at the current time if that is later. */
    public void at(double time, Runnable task) {
        addedCount++;
        events.add(new Event(Math.max(now, time), addedCount, task));
    }

    /** Runs all events that are due before {@code end} and advances the time to it. */
    public void runUntil(double end) {
        Event next = events.peek();
        while (next != null && next.at < end) {
            events.poll();
            now = next.at;
            executedCount++;
            next.task.run();
            next = events.peek();
        }
        now = Math.max(now, end);
    }
}
