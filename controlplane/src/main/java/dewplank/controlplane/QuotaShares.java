package dewplank.controlplane;

import dewplank.message.ControlHeartbeat;
import dewplank.message.HeartbeatAck;
import dewplank.message.QuotaShareGrant;
import dewplank.message.QuotaShareReport;
import dewplank.net.Scheduler;
import dewplank.quota.LeasedShare;
import dewplank.quota.ShareAssigner;
import dewplank.quota.ShareGrant;
import dewplank.quota.ShareReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This control plane's share of all tenants' quotas, and the assignment of shares while it holds the lease of the role
 * {@code list}. Control planes report and request shares in their heartbeats; the lease holder grants them in the
 * acknowledgements ({@code docs/design-quotas.md}). Must be used on the loop's thread only.
 */
final class QuotaShares {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaShares.class);

    /**
     * Number of sent heartbeats whose send times are stored: more than are sent during a share's lease. An
     * acknowledgement of an older heartbeat is ignored, because its grant would have expired.
     */
    private static final int MAX_SENT_HEARTBEATS = 16;

    /** Receives this process's share after each grant that is applied. Called on the loop's thread. */
    interface Listener {
        /**
         * The share of this process has been set.
         *
         * @param fraction of all quotas, from 0 to 1
         * @param expiresAtMs when the share expires unless it is renewed, on the loop's clock
         */
        void onShareUpdated(double nowMs, double fraction, double expiresAtMs);
    }

    private record SentHeartbeat(long sequence, double sentAtMs) {}

    private final Scheduler loop;
    private final String address;
    private final SingletonRole role;
    private final Listener listener;
    private final ShareAssigner assigner = new ShareAssigner();
    private final LeasedShare leasedShare = new LeasedShare();
    private final Deque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();
    /** Fencing token of the lease under which this process assigns shares; 0 while it does not. */
    private long assigningToken;

    private double loggedFraction;

    /** @param address where this process accepts links of other control planes, as IP:PORT */
    QuotaShares(Scheduler loop, String address, SingletonRole role, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.role = role;
        this.listener = listener;
    }

    /**
     * Returns the share report for a heartbeat that is about to be sent to all peers. The lease holder grants its own
     * share with this call.
     */
    QuotaShareReport beginHeartbeat(long sequence) {
        double now = loop.now();
        ShareReport report = leasedShare.report(now);
        assign(address, report).ifPresent(grant -> apply(now, grant));
        sentHeartbeats.addLast(new SentHeartbeat(sequence, now));
        if (sentHeartbeats.size() > MAX_SENT_HEARTBEATS) {
            sentHeartbeats.removeFirst();
        }
        return new QuotaShareReport(report.fraction(), report.fencingToken(), report.number());
    }

    private void apply(double sentAtMs, ShareGrant grant) {
        double now = loop.now();
        leasedShare.onGrant(now, sentAtMs, grant);
        double fraction = leasedShare.fraction(now);
        listener.onShareUpdated(now, fraction, leasedShare.expiresAtMs());
        if (fraction != loggedFraction) {
            loggedFraction = fraction;
            LOG.info("quota share fraction={}", fraction);
        }
    }

    /** The grant for a peer's heartbeat; null if this process does not assign shares or the peer reports none. */
    QuotaShareGrant grantFor(String peer, ControlHeartbeat heartbeat) {
        QuotaShareReport reported = heartbeat.quotaShare;
        if (reported == null) {
            return null;
        }
        ShareReport report = new ShareReport(reported.fraction, reported.fencingToken, reported.number);
        return assign(peer, report)
                .map(grant -> new QuotaShareGrant(
                        grant.fraction(), grant.fencingToken(), grant.number(), grant.renewalOnly()))
                .orElse(null);
    }

    private Optional<ShareGrant> assign(String senderAddress, ShareReport report) {
        double now = loop.now(); // read before the lease is checked, so that no grant starts after the check
        updateRole();
        return assigningToken == 0 ? Optional.empty() : assigner.onReport(now, senderAddress, report);
    }

    private void updateRole() {
        if (assigningToken != 0 && !role.isLeaseHolder(assigningToken)) {
            assigningToken = 0;
            assigner.end();
        }
        if (assigningToken == 0 && role.isLeaseHolder()) {
            assigningToken = role.fencingToken();
            assigner.begin(loop.now(), assigningToken);
        }
    }

    /** Applies the grant in a peer's acknowledgement of a heartbeat of this process. */
    void onAcknowledged(HeartbeatAck ack) {
        if (ack.quotaShare == null) {
            return;
        }
        QuotaShareGrant granted = ack.quotaShare;
        ShareGrant grant = new ShareGrant(granted.fraction, granted.fencingToken, granted.number, granted.renewalOnly);
        for (SentHeartbeat heartbeat : sentHeartbeats) {
            if (heartbeat.sequence() == ack.sequence) {
                apply(heartbeat.sentAtMs(), grant);
            }
        }
    }
}
