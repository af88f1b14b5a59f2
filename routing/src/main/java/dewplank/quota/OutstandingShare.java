package dewplank.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The assigner's record of one control plane: the time of its last heartbeat, and the grants to it that may still be in
 * force. Acknowledgements can be lost or delayed, so only the control plane's reports show which grant it applied;
 * until then the largest grant counts. Records are stored by address: incarnations at the same address do not overlap
 * in time, so their grants are not added up.
 */
final class OutstandingShare {
    private record Grant(double fraction, long number, double expiresAtMs) {}

    private final Deque<Grant> grants = new ArrayDeque<>();
    private double lastHeartbeatAtMs = Double.NEGATIVE_INFINITY;

    /** Records that a heartbeat of the control plane arrived. */
    void recordHeartbeat(double nowMs) {
        lastHeartbeatAtMs = nowMs;
    }

    /** Whether a heartbeat of the control plane arrived within the last lease duration. */
    boolean isLive(double nowMs) {
        return nowMs - lastHeartbeatAtMs < ShareLease.DURATION_MS;
    }

    /** Adds a grant, which counts as in force from now on. */
    void add(double nowMs, ShareGrant grant) {
        grants.addLast(new Grant(grant.fraction(), grant.number(), nowMs + ShareLease.IN_FORCE_MS));
    }

    /** Records that the control plane has applied this grant and therefore will not apply an earlier one. */
    void recordApplied(long number) {
        while (!grants.isEmpty() && grants.peekFirst().number() < number) {
            grants.removeFirst();
        }
    }

    /** The largest of the grants that may be in force; 0 if there is none. */
    double fraction(double nowMs) {
        while (!grants.isEmpty() && nowMs >= grants.peekFirst().expiresAtMs()) {
            grants.removeFirst();
        }
        double largest = 0;
        for (Grant grant : grants) {
            largest = Math.max(largest, grant.fraction());
        }
        return largest;
    }
}
