package dewplank.controlplane;

import dewplank.routing.StagePlanner;
import java.util.List;

/**
 * The model servers of one service as their reports and the pending orders show them, and which changes of stage may be
 * ordered on that ground. Pure: {@link StageController} takes it at each check and acts on it.
 *
 * @param engines servers with a valid report; one with a pending order has the stage that it will have
 * @param serverCount all servers of the service that have a stage
 * @param unknownOrderInProgress whether a server changes its stage without an order from this process: a former lease
 *     holder ordered it, to a stage that is not known here
 */
record ServiceSnapshot(List<StagePlanner.ModelServer> engines, int serverCount, boolean unknownOrderInProgress) {
    /** Below this fraction of servers with a report, nothing can be said of the zones of the others. */
    private static final double MIN_REPORTED_FRACTION = 0.8;

    /** A change takes a second or two to show in reports. */
    private static final double ORDER_INTERVAL_MS = 2_500;
    /** While no request is queued or active, a change disturbs nobody. */
    private static final double IDLE_ORDER_INTERVAL_MS = 300;

    /** Whether enough is known of the service to order a change. */
    boolean allowsOrders() {
        return engines.size() >= MIN_REPORTED_FRACTION * serverCount && !unknownOrderInProgress;
    }

    /** Whether no server has a request queued or active. */
    boolean isIdle() {
        return engines.stream().allMatch(e -> e.queuedRequests() + e.activeRequests() == 0);
    }

    /** The least time between two orders to the service, in milliseconds. */
    double orderIntervalMs() {
        return isIdle() ? IDLE_ORDER_INTERVAL_MS : ORDER_INTERVAL_MS;
    }

    /**
     * The changes to order now.
     *
     * @param severalAtOnce whether more than one server of the service may change at a time
     */
    List<StagePlanner.StageChange> nextChanges(boolean severalAtOnce) {
        List<StagePlanner.StageChange> changes = StagePlanner.planChanges(engines);
        if (severalAtOnce) {
            return changes;
        }
        boolean waitsForAnother = engines.stream().anyMatch(StagePlanner.ModelServer::isChanging);
        return changes.stream().limit(waitsForAnother ? 0 : 1).toList();
    }
}
