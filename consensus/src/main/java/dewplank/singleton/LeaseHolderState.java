package dewplank.singleton;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The candidate won an election and has the lease until it expires by its own clock. It renews the lease before that.
 */
final class LeaseHolderState implements CandidateState {
    private final LeaseTiming timing;
    private final Deque<VoteRound> renewals = new ArrayDeque<>();
    private double expiresAtMs;
    private double renewAtMs;
    private long generation;

    /** Starts the lease at the time at which the winning round was sent (invariant 6). */
    LeaseHolderState(LeaseTiming timing, VoteRound won) {
        this.timing = timing;
        expiresAtMs = won.sentAtMs() + timing.holderLeaseMs();
        renewAtMs = won.sentAtMs() + timing.renewIntervalMs();
        generation = won.generation();
    }

    boolean isExpired(double nowMs) {
        return nowMs >= expiresAtMs;
    }

    /** Brings the next renewal forward to this time; never postpones it. */
    void renewNoLaterThan(double atMs) {
        renewAtMs = Math.min(renewAtMs, atMs);
    }

    /** Adds a renewal that is sent now, and removes renewals that can no longer extend the lease. */
    void addRenewal(VoteRound renewal, double nowMs) {
        renewals.removeIf(earlier -> nowMs >= earlier.sentAtMs() + timing.holderLeaseMs());
        renewals.add(renewal);
        renewAtMs = nowMs + timing.renewIntervalMs();
    }

    /** Records a reply to a pending or granted renewal, and extends the lease once a quorum has granted the renewal. */
    void onVoteReply(VoteReply reply) {
        for (VoteRound renewal : renewals) {
            if (renewal.number() == reply.round()) {
                renewal.add(reply);
                if (renewal.isVoteGranted() && mayExtendBy(renewal)) {
                    extendBy(renewal);
                }
                return;
            }
        }
    }

    /**
     * A renewal by a newer voter set extends the lease only if it was sent at least one vote timeout before the lease
     * granted by the older set expires (invariant 9).
     */
    private boolean mayExtendBy(VoteRound renewal) {
        return renewal.generation() <= generation || renewal.sentAtMs() <= expiresAtMs - timing.voteTimeoutMs();
    }

    private void extendBy(VoteRound renewal) {
        expiresAtMs = Math.max(expiresAtMs, renewal.sentAtMs() + timing.holderLeaseMs());
        generation = Math.max(generation, renewal.generation());
    }

    @Override
    public double nextTickAtMs() {
        return Math.min(renewAtMs, expiresAtMs);
    }

    @Override
    public boolean allowsTransitionTo(CandidateState next) {
        return next instanceof FollowerState || next instanceof StoppedState;
    }
}
