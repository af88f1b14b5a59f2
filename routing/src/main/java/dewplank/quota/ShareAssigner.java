package dewplank.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns shares of all tenants' limits to the control planes. The shares in force never add up to more than 1, and all
 * live control planes converge to equal shares. Only the control plane that holds the lease of the role {@code list}
 * assigns shares. It sends the grants in the acknowledgements of heartbeats, also to its own process.
 *
 * <p>A new assigner does not know which shares its predecessor assigned. Until those shares have expired it only renews
 * the shares that control planes report; after that it has granted every share in force itself. When a control plane's
 * share is reduced, the difference becomes available only after a report shows that the smaller share was applied, or
 * after the larger one has expired.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop and checks its lease of the role immediately before
 * each call. No I/O; the caller passes the time with each call, in milliseconds of the loop's clock.
 */
public final class ShareAssigner {
    private final Map<String, OutstandingShare> sharesByAddress = new HashMap<>();
    private boolean assigning;
    private long fencingToken;
    private long lastGrantNumber;
    private double renewalOnlyUntilMs;

    /**
     * Starts assigning after this process acquired the lease of the role.
     *
     * @param nowMs the current time on the loop's clock; the predecessor grants nothing after this time
     * @param newFencingToken the fencing token of the lease
     */
    public void begin(double nowMs, long newFencingToken) {
        sharesByAddress.clear();
        assigning = true;
        fencingToken = newFencingToken;
        lastGrantNumber = 0;
        renewalOnlyUntilMs = nowMs + ShareLease.IN_FORCE_MS;
    }

    /** Stops assigning after this process lost the lease of the role. */
    public void end() {
        assigning = false;
        sharesByAddress.clear();
    }

    /**
     * Handles the report in a control plane's heartbeat.
     *
     * @param nowMs the current time on the loop's clock, read after the heartbeat arrived
     * @param address the control plane's address
     * @param report the control plane's current share
     * @return the grant to send in the acknowledgement of this heartbeat; empty while this process is not the assigner
     */
    public Optional<ShareGrant> onReport(double nowMs, String address, ShareReport report) {
        if (!assigning) {
            return Optional.empty();
        }
        evictExpired(nowMs);
        OutstandingShare share = sharesByAddress.computeIfAbsent(address, unknown -> new OutstandingShare());
        share.recordHeartbeat(nowMs);
        if (report.fencingToken() == fencingToken) {
            share.recordApplied(report.number());
        }
        ShareGrant grant = nextGrant(nowMs, share, report);
        share.add(nowMs, grant);
        return Optional.of(grant);
    }

    private ShareGrant nextGrant(double nowMs, OutstandingShare share, ShareReport report) {
        lastGrantNumber++;
        boolean renewalOnly = nowMs < renewalOnlyUntilMs;
        double fraction = renewalOnly ? report.fraction() : assignment(nowMs, share);
        return new ShareGrant(fraction, fencingToken, lastGrantNumber, renewalOnly);
    }

    /** An equal share for each live control plane, or what the shares of the others leave if that is less. */
    private double assignment(double nowMs, OutstandingShare share) {
        double assignedToOthers = 0;
        int live = 0;
        for (OutstandingShare other : sharesByAddress.values()) {
            assignedToOthers += other == share ? 0 : other.fraction(nowMs);
            live += other.isLive(nowMs) ? 1 : 0;
        }
        return Math.max(0, Math.min(1.0 / live, 1 - assignedToOthers));
    }

    private void evictExpired(double nowMs) {
        sharesByAddress.values().removeIf(share -> !share.isLive(nowMs) && share.fraction(nowMs) <= 0);
    }
}
