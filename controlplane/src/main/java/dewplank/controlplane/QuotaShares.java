package dewplank.controlplane;

import dewplank.message.ControlHeartbeat;
import dewplank.message.HeartbeatAck;
import dewplank.message.QuotaShareGrant;
import dewplank.message.QuotaShareReport;
import dewplank.net.Scheduler;
import dewplank.quota.HeldShare;
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
 * {@code list}. Shares are asked for by the heartbeats between control planes and granted by their acknowledgements
 * ({@code docs/design-quotas.md}). On the loop's thread only.
 */
final class QuotaShares {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaShares.class);

    /** More heartbeats than a share lasts for: an acknowledgement that comes later counts for nothing. */
    private static final int MAX_HEARTBEATS = 16;

    /** Takes the share of this process whenever a grant was applied. On the loop's thread. */
    interface Listener {
        /**
         * This process holds that share from now on.
         *
         * @param fraction from 0 to 1
         * @param endsAtMs when it ends unless it is renewed, by the loop's clock
         */
        void shareHeld(double nowMs, double fraction, double endsAtMs);
    }

    private record SentHeartbeat(long sequence, double sentAtMs) {}

    private final Scheduler loop;
    private final String address;
    private final SingletonRole role;
    private final Listener listener;
    private final ShareAssigner assigner = new ShareAssigner();
    private final HeldShare held = new HeldShare();
    private final Deque<SentHeartbeat> sent = new ArrayDeque<>();
    /** Of the lease under which the assigner began; 0 while it is not assigning. */
    private long assigningUnder;

    private double loggedFraction;

    /** @param address where this process listens to the others, as IP:PORT */
    QuotaShares(Scheduler loop, String address, SingletonRole role, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.role = role;
        this.listener = listener;
    }

    /** A heartbeat is about to be sent to all peers; what it reports. The lease holder grants its own share by it. */
    QuotaShareReport beginHeartbeat(long sequence) {
        double now = loop.now();
        ShareReport report = held.report(now);
        assign(address, report).ifPresent(grant -> apply(now, grant));
        sent.addLast(new SentHeartbeat(sequence, now));
        if (sent.size() > MAX_HEARTBEATS) {
            sent.removeFirst();
        }
        return new QuotaShareReport(report.fraction(), report.fencingToken(), report.number());
    }

    private void apply(double sentAtMs, ShareGrant grant) {
        double now = loop.now();
        held.onGrant(now, sentAtMs, grant);
        double fraction = held.fraction(now);
        listener.shareHeld(now, fraction, held.endsAtMs());
        if (fraction != loggedFraction) {
            loggedFraction = fraction;
            LOG.info("quota share fraction={}", fraction);
        }
    }

    /** The grant for a peer's heartbeat; null where this process assigns no shares, or the peer reports none. */
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

    private Optional<ShareGrant> assign(String user, ShareReport report) {
        double now = loop.now(); // before the check: the grant counts from no later than when the role was held
        updateRole();
        return assigningUnder == 0 ? Optional.empty() : assigner.onReport(now, user, report);
    }

    private void updateRole() {
        if (assigningUnder != 0 && !role.isLeaseHolder(assigningUnder)) {
            assigningUnder = 0;
            assigner.end();
        }
        if (assigningUnder == 0 && role.isLeaseHolder()) {
            assigningUnder = role.fencingToken();
            assigner.begin(loop.now(), assigningUnder);
        }
    }

    /** A peer has acknowledged a heartbeat of this process. */
    void onAcknowledged(HeartbeatAck ack) {
        if (ack.quotaShare == null) {
            return;
        }
        QuotaShareGrant granted = ack.quotaShare;
        ShareGrant grant = new ShareGrant(granted.fraction, granted.fencingToken, granted.number, granted.renewalOnly);
        for (SentHeartbeat heartbeat : sent) {
            if (heartbeat.sequence() == ack.sequence) {
                apply(heartbeat.sentAtMs(), grant);
            }
        }
    }
}
