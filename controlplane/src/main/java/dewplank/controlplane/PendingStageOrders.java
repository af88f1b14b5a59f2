package dewplank.controlplane;

import dewplank.routing.StagePlanner;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Stage orders that were sent under the current lease and that no report has confirmed yet. {@link StageController}
 * uses them on the loop's thread only.
 */
final class PendingStageOrders {
    /**
     * Time after which an unconfirmed order is removed. By then the server has not executed it or no longer exists.
     */
    static final double ORDER_TIMEOUT_MS = 10_000;

    /** The progress of an order according to a report. */
    enum Progress {
        /** No order to this server is pending. */
        NONE,
        /** The order is not confirmed yet. */
        PENDING,
        /** The report shows the stage that was ordered; the order is removed. */
        CONFIRMED,
        /** No report has confirmed the order in time; the order is removed. */
        TIMED_OUT
    }

    /** @param sentAt when the order was added, on the loop's clock in milliseconds */
    private record PendingOrder(boolean toPrefill, double sentAt) {}

    private final Map<String, PendingOrder> orders = new HashMap<>();

    void add(StagePlanner.StageChange change, double now) {
        orders.put(change.instanceId(), new PendingOrder(change.toPrefill(), now));
    }

    boolean contains(String instanceId) {
        return orders.containsKey(instanceId);
    }

    /** Whether the pending order to that server changes its stage to prefill; requires a pending order. */
    boolean isToPrefill(String instanceId) {
        return orders.get(instanceId).toPrefill();
    }

    void remove(String instanceId) {
        orders.remove(instanceId);
    }

    /** Removes the orders to all other servers, which are no longer available. */
    void retainOnly(Collection<String> instanceIds) {
        orders.keySet().retainAll(instanceIds);
    }

    void clear() {
        orders.clear();
    }

    /** Compares a server's last report with the order to it; removes an order that is confirmed or has timed out. */
    Progress update(ModelServerReport report, double now) {
        StagePlanner.ModelServer server = report.state();
        String instanceId = server.instanceId();
        PendingOrder order = orders.get(instanceId);
        if (order == null) {
            return Progress.NONE;
        }
        boolean confirmed =
                !server.isChanging() && server.isPrefill() == order.toPrefill() && report.receivedAt() > order.sentAt();
        boolean timedOut = now - order.sentAt() > ORDER_TIMEOUT_MS;
        if (!confirmed && !timedOut) {
            return Progress.PENDING;
        }
        orders.remove(instanceId);
        return confirmed ? Progress.CONFIRMED : Progress.TIMED_OUT;
    }
}
