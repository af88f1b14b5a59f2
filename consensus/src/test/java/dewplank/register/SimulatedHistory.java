package dewplank.register;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** One history: troubles for some seconds, then all is well, every process reads, and the whole is checked. */
final class SimulatedHistory {
    private static final double TROUBLED = 4000;
    private static final double LAST_READS = 40_000;
    private static final double PATIENCE = 2000;
    private static final double PAUSE = 100;

    private final SimulatedFleet fleet;
    private final Operators operators;
    private final Troubles troubles;
    private final Set<SimulatedProcess> ended = new HashSet<>();

    SimulatedHistory(long seed, SimulationRules rules) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = 3 + random.nextInt(3);
        int members = rules.wipes() && size == 5 ? 5 : 3;
        fleet = new SimulatedFleet(size, members, rules, random.split());
        operators = new Operators(fleet, random.split());
        troubles = new Troubles(fleet, random.split());
    }

    /** Half of the histories lose disks, the other half change their acceptors at random. */
    static SimulatedHistory of(long seed) {
        boolean wipes = (seed & 1) == 0;
        return new SimulatedHistory(seed, new SimulationRules(wipes, !wipes, false));
    }

    /** Plays it; returns how many requests were answered for certain. */
    int play() {
        operators.begin();
        troubles.begin();
        fleet.events().playUntil(TROUBLED);
        operators.end();
        troubles.end();
        for (SimulatedProcess process : fleet.processes()) {
            readLast(process);
        }
        boolean done = false;
        while (!done) {
            boolean played = fleet.events().playOne(LAST_READS);
            done = ended.size() == fleet.processes().size() && troubles.isReplaced();
            fleet.history().check(played || done, "no answer long after all troubles ended");
        }
        fleet.history().checkEnd();
        return fleet.history().confirmed();
    }

    private void readLast(SimulatedProcess process) {
        fleet.read(process, PATIENCE, outcome -> {
            if (outcome instanceof Outcome.Confirmed) {
                ended.add(process);
            } else {
                fleet.events().after(PAUSE, () -> readLast(process));
            }
        });
    }
}
