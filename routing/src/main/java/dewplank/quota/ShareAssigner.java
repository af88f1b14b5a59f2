package dewplank.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns the shares of all tenants' limits to the control planes, so that those in force never add up to more than 1
 * and every live control plane comes to hold the same. Only the lease holder of the role {@code list} assigns; the
 * grants go out in the acknowledgements of heartbeats, to its own process like to any other.
 *
 * <p>A new assigner does not know what its predecessor assigned. Until those shares have lapsed it only renews what
 * control planes hold; later everything in force is its own. A control plane's smaller share frees the difference only
 * when its report shows that it was applied, or when the larger one has lapsed.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop, and checks its lease of the role immediately before
 * each call. No I/O; time is given with each call, in milliseconds of the loop's clock.
 */
public final class ShareAssigner {
    private final Map<String, OutstandingShare> sharesByAddress = new HashMap<>();
    private boolean assigning;
    private long fencingToken;
    private long lastNumber;
    private double assignsFromMs;

    /**
     * The role was won.
     *
     * @param nowMs the time by the loop's clock; the predecessor granted nothing later
     * @param newFencingToken the fencing token of the role's lease
     */
    public void begin(double nowMs, long newFencingToken) {
        sharesByAddress.clear();
        assigning = true;
        fencingToken = newFencingToken;
        lastNumber = 0;
        assignsFromMs = nowMs + ShareLease.ASSIGNER_MS;
    }

    /** The role was lost. */
    public void end() {
        assigning = false;
        sharesByAddress.clear();
    }

    /**
     * Takes the report in a control plane's heartbeat.
     *
     * @param nowMs the time by the loop's clock, read after the heartbeat arrived
     * @param address the control plane's address
     * @param report what it holds
     * @return the grant for the acknowledgement of this heartbeat; empty while this process assigns nothing
     */
    public Optional<ShareGrant> onReport(double nowMs, String address, ShareReport report) {
        if (!assigning) {
            return Optional.empty();
        }
        dropLapsed(nowMs);
        OutstandingShare share = sharesByAddress.computeIfAbsent(address, unknown -> new OutstandingShare());
        share.recordHeard(nowMs);
        if (report.fencingToken() == fencingToken) {
            share.recordApplied(report.number());
        }
        ShareGrant grant = nextGrant(nowMs, share, report);
        share.add(nowMs, grant);
        return Optional.of(grant);
    }

    private ShareGrant nextGrant(double nowMs, OutstandingShare share, ShareReport report) {
        lastNumber++;
        boolean renewalOnly = nowMs < assignsFromMs;
        double fraction = renewalOnly ? report.fraction() : assignment(nowMs, share);
        return new ShareGrant(fraction, fencingToken, lastNumber, renewalOnly);
    }

    /** An equal part of the whole, or what the others leave while they hold more than theirs. */
    private double assignment(double nowMs, OutstandingShare share) {
        double others = 0;
        int heard = 0;
        for (OutstandingShare each : sharesByAddress.values()) {
            others += each == share ? 0 : each.fraction(nowMs);
            heard += each.isHeard(nowMs) ? 1 : 0;
        }
        return Math.max(0, Math.min(1.0 / heard, 1 - others));
    }

    private void dropLapsed(double nowMs) {
        sharesByAddress.values().removeIf(share -> !share.isHeard(nowMs) && share.fraction(nowMs) <= 0);
    }
}
