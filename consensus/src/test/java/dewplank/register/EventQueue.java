package dewplank.register;

import java.util.PriorityQueue;

/** Virtual time in milliseconds: plays steps in the order of their time, and those of one time in insertion order. */
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

    /** Plays one step; false when the next is not before the end. */
    boolean playOne(double endMs) {
        Event next = events.peek();
        if (next == null || next.atMs >= endMs) {
            return false;
        }
        events.poll();
        nowMs = next.atMs;
        next.step.run();
        return true;
    }

    void playUntil(double endMs) {
        boolean hasMore = true;
        while (hasMore) {
            hasMore = playOne(endMs);
        }
        nowMs = endMs;
    }
}
