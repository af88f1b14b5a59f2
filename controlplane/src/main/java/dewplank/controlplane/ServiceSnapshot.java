package dewplank.controlplane;

import dewplank.routing.StagePlanner;
import java.util.List;

/**
 * The state of one service's model servers according to their reports and the pending orders, and the stage changes
 * that may be ordered based on it. Pure: {@link StageController} creates a snapshot at each check and acts on it.
 *
 * @param engines servers with a valid report; one with a pending order has the stage that was ordered
 * @param serverCount the number of servers of the service that have a stage
 * @param unknownOrderInProgress whether a server is changing its stage without an order from this process: a former
 *     lease holder sent the order, and the stage ordered is unknown to this process
 */
record ServiceSnapshot(List<StagePlanner.ModelServer> engines, int serverCount, boolean unknownOrderInProgress) {
    /** If a smaller fraction of the servers has reported, the state of the zones of the others is unknown. */
    private static final double MIN_REPORTED_FRACTION = 0.8;

    /** A stage change takes one to two seconds to appear in reports. */
    private static final double ORDER_INTERVAL_MS = 2_500;
    /** While no request is queued or active, a stage change affects no requests. */
    private static final double IDLE_ORDER_INTERVAL_MS = 300;

    /** Whether enough servers have reported, and no unknown order is in progress. */
    boolean allowsOrders() {
        return engines.size() >= MIN_REPORTED_FRACTION * serverCount && !unknownOrderInProgress;
    }

    /** Whether no server has a request queued or active. */
    boolean isIdle() {
        return engines.stream().allMatch(e -> e.queuedRequests() + e.activeRequests() == 0);
    }

    /** The minimum time between two orders to the service, in milliseconds. */
    double orderIntervalMs() {
        return isIdle() ? IDLE_ORDER_INTERVAL_MS : ORDER_INTERVAL_MS;
    }

    /**
     * The stage changes to order now.
     *
     * @param severalAtOnce whether more than one server of the service may change at a time
     */
    List<StagePlanner.StageChange> nextChanges(boolean severalAtOnce) {
        List<StagePlanner.StageChange> changes = StagePlanner.planChanges(engines);
        if (severalAtOnce) {
            return changes;
        }
        boolean changeInProgress = engines.stream().anyMatch(StagePlanner.ModelServer::isChanging);
        return changes.stream().limit(changeInProgress ? 0 : 1).toList();
    }
}
