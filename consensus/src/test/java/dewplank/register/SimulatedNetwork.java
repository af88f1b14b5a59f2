package dewplank.register;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Delays, duplicates, reorders and drops messages. */
final class SimulatedNetwork {
    private static final double MIN_DELAY_MS = 0.5;
    private static final double USUAL_DELAY_RANGE_MS = 20;
    private static final double LONG_DELAY_RANGE_MS = 900;

    private record Link(String from, String to) {}

    private final EventQueue events;
    private final SplittableRandom random;
    private final Set<Link> blocked = new HashSet<>();
    private double lossRate;
    private double duplicationRate;
    private double longDelayRate;

    SimulatedNetwork(EventQueue events, SplittableRandom random) {
        this.events = events;
        this.random = random;
    }

    /** Draws the fault rates of this network. */
    void drawFaultRates() {
        lossRate = random.nextInt(3) * 0.06;
        duplicationRate = random.nextInt(3) * 0.08;
        longDelayRate = random.nextInt(3) * 0.05;
    }

    void heal() {
        blocked.clear();
        lossRate = 0;
        duplicationRate = 0;
        longDelayRate = 0;
    }

    /** Drops all messages in this direction. */
    void block(String from, String to) {
        blocked.add(new Link(from, to));
    }

    void unblock(String from, String to) {
        blocked.remove(new Link(from, to));
    }

    void send(String from, String to, Runnable delivery) {
        boolean isLocal = from.equals(to);
        if (isLocal) {
            events.after(0, delivery);
            return;
        }
        if (blocked.contains(new Link(from, to)) || random.nextDouble() < lossRate) {
            return;
        }
        events.after(drawDelayMs(), delivery);
        if (random.nextDouble() < duplicationRate) {
            events.after(drawDelayMs(), delivery);
        }
    }

    private double drawDelayMs() {
        double rangeMs = random.nextDouble() < longDelayRate ? LONG_DELAY_RANGE_MS : USUAL_DELAY_RANGE_MS;
        return MIN_DELAY_MS + random.nextDouble() * rangeMs;
    }
}
