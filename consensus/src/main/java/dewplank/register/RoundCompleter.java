package dewplank.register;

import java.util.random.RandomGenerator;

/** Has finished what stays unfinished for longer than a round takes, because whoever began it may be gone. */
final class RoundCompleter {
    private final Register.Settings settings;
    private final Learner learner;
    private final Proposer proposer;
    private final RandomGenerator random;
    private Object watched;
    private double finishAt;

    RoundCompleter(Register.Settings settings, Learner learner, Proposer proposer, RandomGenerator random) {
        this.settings = settings;
        this.learner = learner;
        this.proposer = proposer;
        this.random = random;
    }

    void tick(double now, Register.Effects out) {
        Object stuck = stuck();
        if (stuck == null || !stuck.equals(watched)) {
            watch(now, stuck);
        } else if (now >= finishAt && isIdle()) {
            proposer.add(now, new CompletionTask(now + settings.roundTimeoutMs() * Proposer.LONGEST_ROUND), out);
            watch(now, stuck);
        }
    }

    /**
     * What waits to be finished, or null: the generation of a joint set, which stays the same while orders are chosen
     * by it, else the ballot of a value accepted and not known to be chosen.
     */
    private Object stuck() {
        if (learner.acceptors().isJoint()) {
            return learner.acceptors().generation();
        }
        return learner.unfinished().isNone() ? null : learner.unfinished();
    }

    /** Orders finish what is unfinished by their own rounds, but no order settles a joint set. */
    private boolean isIdle() {
        boolean ordersSuffice = !learner.acceptors().isJoint() && proposer.pendingOrders() > 0;
        return proposer.pendingRepairs() == 0 && !ordersSuffice;
    }

    private void watch(double now, Object stuck) {
        watched = stuck;
        double drawn = random.nextDouble() * (settings.roundTimeoutMs() + settings.retryMaximumMs());
        finishAt = now + settings.roundTimeoutMs() + drawn;
    }
}
