package dewplank.register;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** One history: faults for some seconds, then none; every process reads once, and all observations are checked. */
final class SimulatedHistory {
    private static final double FAULTS_END_MS = 4000;
    private static final double FINAL_READS_END_MS = 40_000;
    private static final double TIMEOUT_MS = 2000;
    private static final double RETRY_BACKOFF_MS = 100;

    private final SimulatedFleet fleet;
    private final OperatorLoad operators;
    private final Faults faults;
    private final Set<SimulatedProcess> finished = new HashSet<>();

    SimulatedHistory(long seed, SimulationRules rules) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = 3 + random.nextInt(3);
        int members = rules.wipes() && size == 5 ? 5 : 3;
        fleet = new SimulatedFleet(size, members, rules, random.split());
        operators = new OperatorLoad(fleet, random.split());
        faults = new Faults(fleet, random.split());
    }

    /** Half of the histories lose disks, the other half change their acceptors at random. */
    static SimulatedHistory of(long seed) {
        boolean wipes = (seed & 1) == 0;
        return new SimulatedHistory(seed, new SimulationRules(wipes, !wipes, false));
    }

    /** Plays it; returns how many requests were confirmed. */
    int play() {
        operators.start();
        faults.start();
        fleet.events().playUntil(FAULTS_END_MS);
        operators.stop();
        faults.stop();
        for (SimulatedProcess process : fleet.processes()) {
            readUntilConfirmed(process);
        }
        boolean isDone = false;
        while (!isDone) {
            boolean hasPlayed = fleet.events().playOne(FINAL_READS_END_MS);
            isDone = finished.size() == fleet.processes().size() && faults.isWipedReplaced();
            fleet.history().check(hasPlayed || isDone, "no answer long after all faults ended");
        }
        fleet.history().checkEnd();
        return fleet.history().confirmed();
    }

    private void readUntilConfirmed(SimulatedProcess process) {
        fleet.read(process, TIMEOUT_MS, outcome -> {
            if (outcome instanceof Outcome.Confirmed) {
                finished.add(process);
            } else {
                fleet.events().after(RETRY_BACKOFF_MS, () -> readUntilConfirmed(process));
            }
        });
    }
}
