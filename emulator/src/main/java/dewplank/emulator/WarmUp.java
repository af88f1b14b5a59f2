package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;

/** Warm-up of a process: it starts cold, and its speed increases linearly. The initial processes of a run are warm. */
final class WarmUp {
    private final EmulatedEnvironment environment;
    private final MachineType machine;
    private double startedAtMs = Double.NEGATIVE_INFINITY;

    WarmUp(EmulatedEnvironment environment, MachineType machine) {
        this.environment = environment;
        this.machine = machine;
    }

    void onProcessStarted() {
        startedAtMs = environment.now();
    }

    /** Start time of the process; negative infinity if it was started before the scenario. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** Current fraction of the warm speed, from the machine's cold factor to 1. */
    double speedFactor() {
        double ageMs = environment.now() - startedAtMs;
        return machine.warmUpMs() <= 0 || ageMs >= machine.warmUpMs()
                ? 1
                : machine.coldSpeedFactor() + (1 - machine.coldSpeedFactor()) * Math.max(0, ageMs) / machine.warmUpMs();
    }

    boolean isWarm() {
        return speedFactor() >= 1;
    }
}
