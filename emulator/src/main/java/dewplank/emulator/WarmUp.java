package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;

/** A process starts cold; its speed grows linearly until it is warm. The first processes of a run are warm. */
final class WarmUp {
    private final World world;
    private final MachineType machine;
    private double startedAtMs = Double.NEGATIVE_INFINITY;

    WarmUp(World world, MachineType machine) {
        this.world = world;
        this.machine = machine;
    }

    void processStarted() {
        startedAtMs = world.now();
    }

    /** When the process started; negative infinity for one that ran before the scenario began. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** From the machine's cold factor to 1. */
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
