package dewplank.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Who is in touch, as the operators' rules define it, and whether the core is stable. */
final class Touch {
    private final World world;
    private final Map<Machine, Double> badAt = new HashMap<>();
    private double coreBadAt;
    private double linksBadAt;
    private double lookedAt;
    private boolean beyondTolerance;
    private final Map<ControlMachine, Double> servedMs = new HashMap<>();

    Touch(World world) {
        this.world = world;
    }

    /**
     * Losses may come closer than the tolerance has them: a machine that started with an empty disk then counts as lost
     * until it has had catch_up_s beside a majority of others.
     */
    void beyondTolerance() {
        beyondTolerance = true;
    }

    /** A core machine starts with an empty disk while the system runs. */
    void startedEmpty(ControlMachine machine) {
        servedMs.put(machine, 0.0);
    }

    /** A trouble begins or ends at a machine. */
    void disturbed(Machine machine) {
        badAt.put(machine, world.time().now());
        if (machine instanceof ControlMachine) {
            coreBadAt = world.time().now();
        }
    }

    /** A core machine is cut off from others of the core, or joined to them. */
    void coreDisturbed() {
        coreBadAt = world.time().now();
    }

    /** Looks at what goes on. */
    void look() {
        double now = world.time().now();
        List<ControlMachine> core = world.core();
        for (ControlMachine c : core) {
            if (lacksTime(c) && core.stream().anyMatch(o -> o != c && reachesMost(o, core) && joined(o, c))) {
                servedMs.merge(c, now - lookedAt, Double::sum);
            }
        }
        lookedAt = now;
        List<ControlMachine> connected =
                core.stream().filter(c -> reachesMost(c, core)).toList();
        if (connected.isEmpty()) {
            coreBadAt = now;
        }
        if (!world.network().isWhole()) {
            linksBadAt = now;
        }
        for (DataMachine data : world.edge()) {
            if (!data.runs() || connected.stream().anyMatch(c -> !joined(data, c))) {
                badAt.put(data, now);
            }
        }
    }

    private boolean reachesMost(ControlMachine from, List<ControlMachine> core) {
        return from.runs()
                && 2
                                * core.stream()
                                        .filter(c -> c.runs() && joined(from, c) && !(beyondTolerance && lacksTime(c)))
                                        .count()
                        > core.size();
    }

    private boolean lacksTime(ControlMachine machine) {
        return machine.runs() && servedMs.getOrDefault(machine, World.CATCH_UP_MS) < World.CATCH_UP_MS;
    }

    private boolean joined(Machine a, Machine b) {
        return world.network().reaches(a, b) && world.network().reaches(b, a);
    }

    boolean inTouch(DataMachine data) {
        double calmSince = Math.max(coreBadAt, badAt.getOrDefault(data, 0.0));
        return world.time().now() - calmSince > World.CONTACT_MS;
    }

    /** Since when the core was stable and no link in trouble. */
    double calmSince() {
        return Math.max(coreBadAt + World.CONTACT_MS, linksBadAt);
    }
}
