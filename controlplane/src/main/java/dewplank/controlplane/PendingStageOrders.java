package dewplank.controlplane;

import dewplank.routing.StagePlanner;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Orders that were sent under the present lease and that no report has confirmed yet. Held by {@link StageController},
 * on the loop's thread only.
 */
final class PendingStageOrders {
    /** An order that no report has confirmed by then was not taken, or its server is gone. */
    static final double ORDER_TIMEOUT_MS = 10_000;

    /** What a report says of an order. */
    enum Progress {
        /** There is no order to this server. */
        NONE,
        /** The order is not confirmed yet. */
        PENDING,
        /** The report shows the stage that was ordered; the order is over. */
        CONFIRMED,
        /** Nothing has confirmed the order in time; it is over. */
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

    /** Whether the pending order to that server is one to prefill; there has to be one. */
    boolean isToPrefill(String instanceId) {
        return orders.get(instanceId).toPrefill();
    }

    void remove(String instanceId) {
        orders.remove(instanceId);
    }

    /** Forgets the orders to all other servers: they are gone. */
    void retainOnly(Collection<String> instanceIds) {
        orders.keySet().retainAll(instanceIds);
    }

    void clear() {
        orders.clear();
    }

    /** Compares a server's last report with the order to it, and removes an order that is over. */
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
