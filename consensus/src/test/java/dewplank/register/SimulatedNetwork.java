package dewplank.register;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Carries messages late, twice, out of order or not at all. */
final class SimulatedNetwork {
    private static final double SHORTEST_DELAY = 0.5;
    private static final double USUAL_DELAY = 20;
    private static final double LONG_DELAY = 900;

    private record Link(String from, String to) {}

    private final EventQueue events;
    private final SplittableRandom random;
    private final Set<Link> cuts = new HashSet<>();
    private double dropped;
    private double doubled;
    private double delayed;

    SimulatedNetwork(EventQueue events, SplittableRandom random) {
        this.events = events;
        this.random = random;
    }

    /** Draws how bad this network is. */
    void worsen() {
        dropped = random.nextInt(3) * 0.06;
        doubled = random.nextInt(3) * 0.08;
        delayed = random.nextInt(3) * 0.05;
    }

    void heal() {
        cuts.clear();
        dropped = 0;
        doubled = 0;
        delayed = 0;
    }

    void cut(String from, String to) {
        cuts.add(new Link(from, to));
    }

    void mend(String from, String to) {
        cuts.remove(new Link(from, to));
    }

    void carry(String from, String to, Runnable delivery) {
        boolean own = from.equals(to);
        if (own) {
            events.after(0, delivery);
            return;
        }
        if (cuts.contains(new Link(from, to)) || random.nextDouble() < dropped) {
            return;
        }
        events.after(delay(), delivery);
        if (random.nextDouble() < doubled) {
            events.after(delay(), delivery);
        }
    }

    private double delay() {
        double longest = random.nextDouble() < delayed ? LONG_DELAY : USUAL_DELAY;
        return SHORTEST_DELAY + random.nextDouble() * longest;
    }
}
