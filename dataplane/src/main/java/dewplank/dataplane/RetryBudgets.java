package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.net.Scheduler;
import dewplank.routing.FleetSizeEstimator;
import dewplank.routing.RetryBudget;
import java.util.HashMap;
import java.util.Map;

/**
 * This data plane's part of the fleet's retry budgets, one for each service. How many data planes divide a budget comes
 * from the membership. On the event loop's thread only.
 */
final class RetryBudgets {
    private final Scheduler loop;
    private final Counters counters;
    private final Limits limits;
    private final FleetSizeEstimator fleetSize;
    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * The fleet's bounds on retries to a service, from the settings' contract.
     *
     * @param ratio retries for each request
     * @param windowMs the time over which both are counted
     * @param slack retries that are allowed beyond the ratio
     */
    record Limits(double ratio, double windowMs, double slack) {}

    RetryBudgets(Scheduler loop, Counters counters, Limits limits) {
        this.loop = loop;
        this.counters = counters;
        this.limits = limits;
        this.fleetSize = new FleetSizeEstimator(limits.windowMs());
    }

    /** The membership names so many data planes. */
    void recordMembership(int dataPlanes) {
        fleetSize.recordMembership(loop.now(), dataPlanes);
    }

    /** A client's request to the service has come, which adds to the budget. */
    void recordRequest(String service) {
        budget(service).recordRequest(loop.now());
    }

    /** Counts a retry that has been made already. */
    void recordRetry(String service) {
        budget(service).recordRetry(loop.now());
    }

    /** Takes one retry to the service out of this data plane's part. False: it is used up. */
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
