package dewplank.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What an assigner knows of one control plane: when it was last heard, and the grants to it that may still be in force.
 * Which of them it applied is known from its reports only, as acknowledgements are lost and delayed; so the largest
 * counts. It is kept by address: incarnations at one address do not overlap, so their grants do not add up.
 */
final class OutstandingShare {
    private record Grant(double fraction, long number, double lapsesAtMs) {}

    private final Deque<Grant> grants = new ArrayDeque<>();
    private double heardAtMs = Double.NEGATIVE_INFINITY;

    /** A heartbeat of the control plane arrived. */
    void recordHeard(double nowMs) {
        heardAtMs = nowMs;
    }

    /** Whether a heartbeat of the control plane arrived within the last lease. */
    boolean isHeard(double nowMs) {
        return nowMs - heardAtMs < ShareLease.DURATION_MS;
    }

    /** Counts a grant as in force from now on. */
    void add(double nowMs, ShareGrant grant) {
        grants.addLast(new Grant(grant.fraction(), grant.number(), nowMs + ShareLease.ASSIGNER_MS));
    }

    /** The control plane reported that it has applied this grant: it will apply no earlier one. */
    void recordApplied(long number) {
        while (!grants.isEmpty() && grants.peekFirst().number() < number) {
            grants.removeFirst();
        }
    }

    /** The largest of the grants that may be in force; 0 where there is none. */
    double fraction(double nowMs) {
        while (!grants.isEmpty() && nowMs >= grants.peekFirst().lapsesAtMs()) {
            grants.removeFirst();
        }
        double largest = 0;
        for (Grant grant : grants) {
            largest = Math.max(largest, grant.fraction());
        }
        return largest;
    }
}
