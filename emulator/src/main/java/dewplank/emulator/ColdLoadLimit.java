package dewplank.emulator;

import dewplank.emulator.scenario.Rules;
import java.util.ArrayDeque;

/**
 * What a cold server can bear: a multiple of its present capacity over a sliding window. Each request counts by the
 * mean work of its class. The rule is the deployment's, see {@link Rules}.
 */
final class ColdLoadLimit {

    private record OfferedWork(double atMs, double work) {}

    private final World world;
    private final WarmUp warmUp;
    private final double fullCapacity;
    private final ArrayDeque<OfferedWork> offered = new ArrayDeque<>();
    private double offeredWorkSum;

    /** {@code fullCapacity}: work per millisecond of the warm server. */
    ColdLoadLimit(World world, WarmUp warmUp, double fullCapacity) {
        this.world = world;
        this.warmUp = warmUp;
        this.fullCapacity = fullCapacity;
    }

    /** Counts an offered request; answers whether the server breaks down under it. */
    boolean isExceededBy(double work) {
        if (warmUp.isWarm()) {
            clear();
            return false;
        }
        Rules rules = world.scenario().rules();
        double now = world.now();
        offered.addLast(new OfferedWork(now, work));
        offeredWorkSum += work;
        while (offered.peekFirst().atMs() < now - rules.collapseWindowMs()) {
            offeredWorkSum -= offered.removeFirst().work();
        }
        double limit = rules.collapseFactor() * warmUp.speedFactor() * fullCapacity * rules.collapseWindowMs();
        return offeredWorkSum > World.withChance(limit, world.scenario().meanWork());
    }

    /** Work offered in the present window. */
    double offeredWork() {
        return offeredWorkSum;
    }

    void clear() {
        offered.clear();
        offeredWorkSum = 0;
    }
}
