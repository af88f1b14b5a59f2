package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.net.Scheduler;
import dewplank.routing.FleetSizeEstimator;
import dewplank.routing.RetryBudget;
import java.util.HashMap;
import java.util.Map;

/**
 * This data plane's parts of the fleet's retry budgets, one for each service. The fleet's membership determines into
 * how many parts the slack of a budget is divided. Not thread-safe; must be used on the event loop's thread only.
 */
final class RetryBudgets {
    private final Scheduler loop;
    private final Counters counters;
    private final Limits limits;
    private final FleetSizeEstimator fleetSize;
    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * The fleet-wide bounds on retries to a service, from the bounds in the settings.
     *
     * @param ratio allowed retries per request
     * @param windowMs the window in which requests and retries are counted
     * @param slack retries allowed in addition to the ratio
     */
    record Limits(double ratio, double windowMs, double slack) {}

    RetryBudgets(Scheduler loop, Counters counters, Limits limits) {
        this.loop = loop;
        this.counters = counters;
        this.limits = limits;
        this.fleetSize = new FleetSizeEstimator(limits.windowMs());
    }

    /** Records the number of data planes in the membership. */
    void recordMembership(int dataPlanes) {
        fleetSize.recordMembership(loop.now(), dataPlanes);
    }

    /** Records a client's request to the service, which increases the budget. */
    void recordRequest(String service) {
        budget(service).recordRequest(loop.now());
    }

    /** Counts a retry that has already been made. */
    void recordRetry(String service) {
        budget(service).recordRetry(loop.now());
    }

    /** Charges one retry to this data plane's part of the service's budget. Returns false if it is exhausted. */
    boolean tryAcquire(String service) {
        double now = loop.now();
        int dataPlanes = fleetSize.isSettled(now) ? fleetSize.dataPlanes(now) : RetryBudget.NO_SLACK;
        boolean acquired = budget(service).tryAcquire(now, dataPlanes);
        counters.add(acquired ? Count.RETRIES : Count.RETRIES_OVER_BUDGET);
        return acquired;
    }

    private RetryBudget budget(String service) {
        return byService.computeIfAbsent(
                service, s -> new RetryBudget(limits.ratio(), limits.windowMs(), limits.slack()));
    }
}
