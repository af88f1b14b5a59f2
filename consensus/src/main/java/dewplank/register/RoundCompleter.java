package dewplank.register;

import java.util.random.RandomGenerator;

/**
 * Completes what stays unfinished for longer than a round takes, because its proposer may be gone. {@link AntiEntropy}
 * calls it at each tick. The delay is drawn, so that processes do not start competing ballots.
 *
 * @param <A> the result of the callers' changes
 */
final class RoundCompleter<A> {
    /** What is unfinished; equal as long as it is the same work. */
    private sealed interface Unfinished permits Nothing, JointSet, UnconfirmedBallot {}

    private enum Nothing implements Unfinished {
        NOTHING
    }

    /** A joint set: its generation stays the same while requests are chosen by it. */
    private record JointSet(long generation) implements Unfinished {}

    /** A ballot that is accepted and not known to be chosen. */
    private record UnconfirmedBallot(Ballot ballot) implements Unfinished {}

    private final Register.Settings settings;
    private final Learner learner;
    private final Proposer<A> proposer;
    private final RandomGenerator random;
    private Unfinished watched = Nothing.NOTHING;
    private double completeAtMs;

    RoundCompleter(Register.Settings settings, Learner learner, Proposer<A> proposer, RandomGenerator random) {
        this.settings = settings;
        this.learner = learner;
        this.proposer = proposer;
        this.random = random;
    }

    void tick(double nowMs, Register.Effects<A> effects) {
        Unfinished unfinished = unfinished();
        if (unfinished == Nothing.NOTHING || !unfinished.equals(watched)) {
            watch(nowMs, unfinished);
        } else if (nowMs >= completeAtMs && !isBeingCompleted()) {
            double deadlineMs = nowMs + settings.roundTimeoutMs() * Proposer.MAX_ROUND_TIMEOUT_FACTOR;
            proposer.add(nowMs, new CompletionTask<>(deadlineMs), effects);
            watch(nowMs, unfinished);
        }
    }

    private Unfinished unfinished() {
        if (learner.acceptors().isJoint()) {
            return new JointSet(learner.acceptors().generation());
        }
        Ballot unconfirmed = learner.unconfirmedBallot();
        return unconfirmed.isNone() ? Nothing.NOTHING : new UnconfirmedBallot(unconfirmed);
    }

    /** A pending request completes an unconfirmed ballot by its own rounds, but does not complete a joint set. */
    private boolean isBeingCompleted() {
        boolean isByRequest = !learner.acceptors().isJoint() && proposer.pendingRequests() > 0;
        return proposer.pendingRepairs() > 0 || isByRequest;
    }

    private void watch(double nowMs, Unfinished unfinished) {
        watched = unfinished;
        double jitterMs = random.nextDouble() * (settings.roundTimeoutMs() + settings.retryBackoffMaxMs());
        completeAtMs = nowMs + settings.roundTimeoutMs() + jitterMs;
    }
}
