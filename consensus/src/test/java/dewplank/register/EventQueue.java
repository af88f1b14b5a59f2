package dewplank.register;

import java.util.PriorityQueue;

/** Virtual time: steps in the order of their time, those of one time in the order they were added. */
final class EventQueue {
    private record Event(double at, long number, Runnable step) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long added;

    double now() {
        return now;
    }

    void after(double delay, Runnable step) {
        added++;
        events.add(new Event(now + delay, added, step));
    }

    /** Plays one step; false when the next is not before the end. */
    boolean playOne(double end) {
        Event next = events.peek();
        if (next == null || next.at >= end) {
            return false;
        }
        events.poll();
        now = next.at;
        next.step.run();
        return true;
    }

    void playUntil(double end) {
        boolean more = true;
        while (more) {
            more = playOne(end);
        }
        now = end;
    }
}
