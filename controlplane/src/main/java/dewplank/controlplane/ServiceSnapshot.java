package dewplank.controlplane;

import dewplank.routing.StagePlanner;
import java.util.List;

/**
 * The state of one service's model servers according to their reports and the pending orders, and the stage changes
 * that may be ordered based on it. Immutable. {@link StageController} creates a snapshot at each check and sends the
 * orders.
 *
 * @param servers servers with a valid report; one with a pending order has the stage that was ordered
 * @param serverCount the number of servers of the service that have a stage
 * @param unknownOrderInProgress whether a server is changing its stage without an order from this process: a former
 *     lease holder sent the order, and the stage ordered is unknown to this process
 */
record ServiceSnapshot(List<StagePlanner.ModelServer> servers, int serverCount, boolean unknownOrderInProgress) {
    /**
     * Minimum fraction of the servers that have a valid report. With fewer reports no change is ordered, because the
     * state of the zones of the other servers is unknown.
     */
    private static final double MIN_REPORTED_FRACTION = 0.8;

    /** Minimum time between two orders to a service: a stage change takes one to two seconds to appear in reports. */
    private static final double ORDER_INTERVAL_MS = 2_500;
    /** Minimum time between two orders while no request is queued or active, as a change then affects no requests. */
    private static final double IDLE_ORDER_INTERVAL_MS = 300;

    /** Whether enough servers have reported, and no unknown order is in progress. */
    boolean allowsOrders() {
        return servers.size() >= MIN_REPORTED_FRACTION * serverCount && !unknownOrderInProgress;
    }

    /** Whether no server has a request queued or active. */
    boolean isIdle() {
        return servers.stream().allMatch(s -> s.queuedRequests() + s.activeRequests() == 0);
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
        List<StagePlanner.StageChange> changes = StagePlanner.planChanges(servers);
        if (severalAtOnce) {
            return changes;
        }
        boolean changeInProgress = servers.stream().anyMatch(StagePlanner.ModelServer::isChanging);
        return changes.stream().limit(changeInProgress ? 0 : 1).toList();
    }
}
