package dewplank.register;

import java.util.PriorityQueue;

/**
 * Runs steps in virtual time, in milliseconds: in the order of their time, and steps of one time in insertion order.
 */
final class EventQueue {
    private record Event(double atMs, long number, Runnable step) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double nowMs;
    private long lastNumber;

    double nowMs() {
        return nowMs;
    }

    void after(double delayMs, Runnable step) {
        lastNumber++;
        events.add(new Event(nowMs + delayMs, lastNumber, step));
    }

    /** Runs the next step; returns false if there is none before the end. */
    boolean runNext(double endMs) {
        Event next = events.peek();
        if (next == null || next.atMs >= endMs) {
            return false;
        }
        events.poll();
        nowMs = next.atMs;
        next.step.run();
        return true;
    }

    void runUntil(double endMs) {
        boolean hasMore = true;
        while (hasMore) {
            hasMore = runNext(endMs);
        }
        nowMs = endMs;
    }
}
