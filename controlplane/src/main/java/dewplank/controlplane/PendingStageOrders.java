package dewplank.controlplane;

import dewplank.routing.StagePlanner;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Stage orders that belong to the current lease and that no report has confirmed yet. Used by {@link StageController},
 * on the loop's thread only.
 */
final class PendingStageOrders {
    /** If no report confirms an order within this time, the server did not execute it or no longer exists. */
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

    /** @param sentAt on the loop's clock in milliseconds */
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
        StagePlanner.ModelServer engine = report.engine();
        String instanceId = engine.instanceId();
        PendingOrder order = orders.get(instanceId);
        if (order == null) {
            return Progress.NONE;
        }
        boolean confirmed =
                !engine.isChanging() && engine.isPrefill() == order.toPrefill() && report.receivedAt() > order.sentAt();
        boolean timedOut = now - order.sentAt() > ORDER_TIMEOUT_MS;
        if (!confirmed && !timedOut) {
            return Progress.PENDING;
        }
        orders.remove(instanceId);
        return confirmed ? Progress.CONFIRMED : Progress.TIMED_OUT;
    }
}
