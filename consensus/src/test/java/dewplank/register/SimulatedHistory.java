package dewplank.register;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** One history: faults for some seconds, then a read by every process without faults; checks all observations. */
final class SimulatedHistory {
    private static final double FAULTS_END_MS = 4000;
    private static final double FINAL_READS_END_MS = 40_000;
    private static final double TIMEOUT_MS = 2000;
    private static final double RETRY_BACKOFF_MS = 100;

    private final SimulatedFleet fleet;
    private final OperatorLoad operators;
    private final Faults faults;
    private final Set<SimulatedProcess> finishedProcesses = new HashSet<>();

    SimulatedHistory(long seed, SimulationRules rules) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = 3 + random.nextInt(3);
        int members = rules.wipes() && size == 5 ? 5 : 3;
        fleet = new SimulatedFleet(size, members, rules, random.split());
        operators = new OperatorLoad(fleet, random.split());
        faults = new Faults(fleet, random.split());
    }

    /** Creates a history: with an even seed disks are lost, with an odd seed the acceptors change at random. */
    static SimulatedHistory of(long seed) {
        boolean wipes = (seed & 1) == 0;
        return new SimulatedHistory(seed, new SimulationRules(wipes, !wipes, false));
    }

    /** Runs the history; returns the number of confirmed requests. */
    int run() {
        operators.start();
        faults.start();
        fleet.events().runUntil(FAULTS_END_MS);
        operators.stop();
        faults.stop();
        for (SimulatedProcess process : fleet.processes()) {
            readUntilConfirmed(process);
        }
        boolean isDone = false;
        while (!isDone) {
            boolean hasRun = fleet.events().runNext(FINAL_READS_END_MS);
            isDone = finishedProcesses.size() == fleet.processes().size() && faults.isWipedDiskReplaced();
            fleet.history().check(hasRun || isDone, "not all reads are confirmed long after the end of all faults");
        }
        fleet.history().checkEnd();
        return fleet.history().confirmed();
    }

    private void readUntilConfirmed(SimulatedProcess process) {
        fleet.read(process, TIMEOUT_MS, outcome -> {
            if (outcome instanceof Outcome.Confirmed) {
                finishedProcesses.add(process);
            } else {
                fleet.events().after(RETRY_BACKOFF_MS, () -> readUntilConfirmed(process));
            }
        });
    }
}
