package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;

/**
 * How fast a core of a server works now: its base speed, less what warm-up, an injected slowdown, a neighbour on the
 * machine, pauses, a full connection table and the overload slowdown take. Whoever changes one of them has to call
 * {@link ProcessorSharing#plan}.
 */
final class ServerSpeed {
    private final World world;
    private final double baseWorkPerCoreMs;
    private final WarmUp warmUp;
    private final ConnectionTable connections;
    private final double overloadFactor;
    private boolean isSlowedByOverload;
    private double slowdown = 1;
    private double neighbourFraction;
    private double pausedUntilMs;

    ServerSpeed(World world, MachineType machine, double baseSpeed, WarmUp warmUp, ConnectionTable connections) {
        this.world = world;
        this.baseWorkPerCoreMs = baseSpeed;
        this.warmUp = warmUp;
        this.connections = connections;
        this.overloadFactor = machine.overloadSlowdown().factor();
    }

    /** Work per millisecond of a core when the server is warm and nothing slows it down. */
    double baseWorkPerCoreMs() {
        return baseWorkPerCoreMs;
    }

    /** Work per millisecond of a core now; 0 during a pause. */
    double workPerCoreMs() {
        if (world.now() < pausedUntilMs) {
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
        pausedUntilMs = Math.max(pausedUntilMs, world.now() + durationMs);
    }

    /** {@code factor} times slower; 1 for the usual speed. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** A neighbour on the machine takes this part of each core. */
    void setNeighbourFraction(double fraction) {
        neighbourFraction = fraction;
    }

    void setSlowedByOverload(boolean isSlowed) {
        isSlowedByOverload = isSlowed;
    }

    /** The process ended: what slowed it down ends with it, but for a pause of the machine. */
    void processEnded() {
        slowdown = 1;
        neighbourFraction = 0;
        isSlowedByOverload = false;
    }

    void processStarted() {
        pausedUntilMs = 0;
    }
}
