package dewplank.emulator;

import dewplank.emulator.scenario.Rules;
import java.util.ArrayDeque;

/**
 * The load limit of a cold server: a multiple of its current capacity, measured over a sliding window. Each request
 * counts with the mean work of its class. The limit is one of the deployment's {@link Rules}.
 */
final class ColdLoadLimit {

    private record OfferedWork(double atMs, double work) {}

    private final EmulatedEnvironment environment;
    private final WarmUp warmUp;
    private final double fullCapacity;
    private final ArrayDeque<OfferedWork> offered = new ArrayDeque<>();
    private double offeredWorkSum;

    /** {@code fullCapacity}: work per millisecond that the warm server completes. */
    ColdLoadLimit(EmulatedEnvironment environment, WarmUp warmUp, double fullCapacity) {
        this.environment = environment;
        this.warmUp = warmUp;
        this.fullCapacity = fullCapacity;
    }

    /** Counts an offered request, and returns whether the offered load now exceeds the limit. */
    boolean isExceededBy(double work) {
        if (warmUp.isWarm()) {
            clear();
            return false;
        }
        Rules rules = environment.scenario().rules();
        double now = environment.now();
        offered.addLast(new OfferedWork(now, work));
        offeredWorkSum += work;
        while (offered.peekFirst().atMs() < now - rules.collapseWindowMs()) {
            offeredWorkSum -= offered.removeFirst().work();
        }
        double limit = rules.collapseFactor() * warmUp.speedFactor() * fullCapacity * rules.collapseWindowMs();
        return offeredWorkSum
                > EmulatedEnvironment.withStatisticalMargin(
                        limit, environment.scenario().meanWork());
    }

    /** Work offered in the current window. */
    double offeredWork() {
        return offeredWorkSum;
    }

    void clear() {
        offered.clear();
        offeredWorkSum = 0;
    }
}
