package dewplank.register;

import java.util.random.RandomGenerator;

/**
 * Completes work that remains unfinished for longer than a round takes, because its proposer may have stopped. {@link
 * AntiEntropy} calls it at each tick. The delay is random, so that processes do not start competing ballots.
 *
 * @param <A> the result of the callers' changes
 */
final class RoundCompleter<A> {
    /** The unfinished work; two instances are equal if they denote the same work. */
    private sealed interface UnfinishedWork permits Nothing, JointSet, UnconfirmedBallot {}

    private enum Nothing implements UnfinishedWork {
        NOTHING
    }

    /** A joint set, identified by its generation, which does not change while the set decides on requests. */
    private record JointSet(long generation) implements UnfinishedWork {}

    /** A ballot that is accepted but not known to be chosen. */
    private record UnconfirmedBallot(Ballot ballot) implements UnfinishedWork {}

    private final Register.Settings settings;
    private final Learner learner;
    private final Proposer<A> proposer;
    private final RandomGenerator random;
    private UnfinishedWork watched = Nothing.NOTHING;
    private double completeAtMs;

    RoundCompleter(Register.Settings settings, Learner learner, Proposer<A> proposer, RandomGenerator random) {
        this.settings = settings;
        this.learner = learner;
        this.proposer = proposer;
        this.random = random;
    }

    void tick(double nowMs, Register.Effects<A> effects) {
        UnfinishedWork unfinished = unfinished();
        if (unfinished == Nothing.NOTHING || !unfinished.equals(watched)) {
            watch(nowMs, unfinished);
        } else if (nowMs >= completeAtMs && !isBeingCompleted()) {
            double deadlineMs = nowMs + settings.roundTimeoutMs() * Proposer.MAX_ROUND_TIMEOUT_FACTOR;
            proposer.add(nowMs, new CompletionTask<>(deadlineMs), effects);
            watch(nowMs, unfinished);
        }
    }

    private UnfinishedWork unfinished() {
        if (learner.acceptors().isJoint()) {
            return new JointSet(learner.acceptors().generation());
        }
        Ballot unconfirmed = learner.unconfirmedBallot();
        return unconfirmed.isNone() ? Nothing.NOTHING : new UnconfirmedBallot(unconfirmed);
    }

    /**
     * Whether a pending task will complete the work. The rounds of a request complete an unconfirmed ballot, but not a
     * joint set.
     */
    private boolean isBeingCompleted() {
        boolean isCompletedByRequest = !learner.acceptors().isJoint() && proposer.pendingRequests() > 0;
        return proposer.pendingRepairs() > 0 || isCompletedByRequest;
    }

    private void watch(double nowMs, UnfinishedWork unfinished) {
        watched = unfinished;
        double jitterMs = random.nextDouble() * (settings.roundTimeoutMs() + settings.retryBackoffMaxMs());
        completeAtMs = nowMs + settings.roundTimeoutMs() + jitterMs;
    }
}
