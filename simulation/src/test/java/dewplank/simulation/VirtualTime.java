package dewplank.simulation;

import java.util.PriorityQueue;

/** Virtual time in milliseconds: steps in the order of their time, those of one time in the order they were added. */
public final class VirtualTime {
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
    private long played;

    public double now() {
        return now;
    }

    /** Steps played so far. */
    public long played() {
        return played;
    }

    /** Plays the step after so long. */
    public void after(double delay, Runnable step) {
        at(now + delay, step);
    }

    /** Plays the step at that time, or at once where it is past. */
    public void at(double time, Runnable step) {
        added++;
        events.add(new Event(Math.max(now, time), added, step));
    }

    /** Plays all that is due before the end. */
    public void playUntil(double end) {
        Event next = events.peek();
        while (next != null && next.at < end) {
            events.poll();
            now = next.at;
            played++;
            next.step.run();
            next = events.peek();
        }
        now = Math.max(now, end);
    }
}
