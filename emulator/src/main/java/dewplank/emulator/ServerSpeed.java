package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;

/**
 * Current speed of a server's cores: the base speed, reduced by warm-up, an injected slowdown, a neighbour on the
 * machine, pauses, a full connection table and the overload slowdown. After each change of one of these,
 * {@link ProcessorSharing#plan} must be called.
 */
final class ServerSpeed {
    private final EmulatedEnvironment environment;
    private final double baseWorkPerCoreMs;
    private final WarmUp warmUp;
    private final ConnectionTable connections;
    private final double overloadFactor;
    private boolean isSlowedByOverload;
    private double slowdown = 1;
    private double neighbourFraction;
    private double pausedUntilMs;

    ServerSpeed(
            EmulatedEnvironment environment,
            MachineType machine,
            double baseSpeed,
            WarmUp warmUp,
            ConnectionTable connections) {
        this.environment = environment;
        this.baseWorkPerCoreMs = baseSpeed;
        this.warmUp = warmUp;
        this.connections = connections;
        this.overloadFactor = machine.overloadSlowdown().factor();
    }

    /** Work per millisecond that a core completes when the server is warm and not slowed down. */
    double baseWorkPerCoreMs() {
        return baseWorkPerCoreMs;
    }

    /** Work per millisecond that a core currently completes; 0 during a pause. */
    double workPerCoreMs() {
        if (environment.now() < pausedUntilMs) {
            return 0;
        }
        return baseWorkPerCoreMs
                * warmUp.speedFactor()
                / slowdown
                * (1 - neighbourFraction)
                * (1 - connections.slowdownFraction())
                / (isSlowedByOverload ? overloadFactor : 1);
    }

    boolean isWarm() {
        return warmUp.isWarm();
    }

    double pausedUntilMs() {
        return pausedUntilMs;
    }

    void pause(double durationMs) {
        pausedUntilMs = Math.max(pausedUntilMs, environment.now() + durationMs);
    }

    /** Makes the server {@code factor} times slower; 1 restores the base speed. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Sets the fraction of each core that a neighbour on the machine uses. */
    void setNeighbourFraction(double fraction) {
        neighbourFraction = fraction;
    }

    void setSlowedByOverload(boolean isSlowed) {
        isSlowedByOverload = isSlowed;
    }

    /** Removes the slowdowns of the ended process; a pause of the machine continues. */
    void onProcessEnded() {
        slowdown = 1;
        neighbourFraction = 0;
        isSlowedByOverload = false;
    }

    void onProcessStarted() {
        pausedUntilMs = 0;
    }
}
