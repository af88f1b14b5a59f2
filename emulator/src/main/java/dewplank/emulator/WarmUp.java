package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;

/** Warm-up of a process: it starts cold, and its speed increases linearly. The initial processes of a run are warm. */
final class WarmUp {
    private final World world;
    private final MachineType machine;
    private double startedAtMs = Double.NEGATIVE_INFINITY;

    WarmUp(World world, MachineType machine) {
        this.world = world;
        this.machine = machine;
    }

    void onProcessStarted() {
        startedAtMs = world.now();
    }

    /** Start time of the process; negative infinity if it was started before the scenario. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** Current fraction of the warm speed, from the machine's cold factor to 1. */
    double speedFactor() {
        double ageMs = world.now() - startedAtMs;
        return machine.warmUpMs() <= 0 || ageMs >= machine.warmUpMs()
                ? 1
                : machine.coldSpeedFactor() + (1 - machine.coldSpeedFactor()) * Math.max(0, ageMs) / machine.warmUpMs();
    }

    boolean isWarm() {
        return speedFactor() >= 1;
    }
}
