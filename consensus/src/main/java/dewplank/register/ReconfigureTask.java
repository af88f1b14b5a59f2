package dewplank.register;

import java.util.List;

/**
 * Replaces the acceptors through a joint set if the current set still has the expected generation. If the current set
 * is joint, its transition is completed first. Generations serve as fencing tokens: invariant 6 in {@code
 * docs/register.md}.
 */
final class ReconfigureTask<A> implements Task<A> {
    /** A reconfiguration takes two generations: the joint set and the set that completes it. */
    private static final int GENERATIONS_PER_RECONFIGURATION = 2;

    private final long requestId;
    private final long expectedGeneration;
    private final List<AcceptorId> target;
    private final double deadlineMs;

    ReconfigureTask(long requestId, long expectedGeneration, List<AcceptorId> target, double deadlineMs) {
        this.requestId = requestId;
        this.expectedGeneration = expectedGeneration;
        this.target = List.copyOf(target);
        this.deadlineMs = deadlineMs;
    }

    @Override
    public Proposal<A> propose(RegisterValue read, RegisterValue newestChosen) {
        AcceptorSet set = read.acceptors();
        if (set.isJoint()) {
            Proposal<A> next = CompletionTask.completeTransition(read, newestChosen);
            return next.changed() ? withResult(next.value(), true) : next;
        }
        if (set.generation() == expectedGeneration && !set.consistsOf(target)) {
            return Proposal.changed(read.withAcceptors(set.beginTransition(target)));
        }
        return withResult(read, false);
    }

    @Override
    public boolean isCompletedBy(Proposal<A> proposal) {
        return proposal.result() instanceof RequestResult.OfReconfiguration;
    }

    @Override
    public boolean isRepair() {
        return true;
    }

    @Override
    public double deadlineMs() {
        return deadlineMs;
    }

    @Override
    public void complete(Outcome<A> outcome, Register.Effects<A> effects) {
        effects.completed(requestId, outcome);
    }

    private Proposal<A> withResult(RegisterValue value, boolean changed) {
        return new Proposal<>(value, new RequestResult.OfReconfiguration<>(resultFor(value.acceptors())), changed);
    }

    private Reconfiguration resultFor(AcceptorSet set) {
        if (!set.consistsOf(target)) {
            return Reconfiguration.SUPERSEDED;
        }
        boolean isFromExpectedGeneration = set.generation() == expectedGeneration + GENERATIONS_PER_RECONFIGURATION;
        return isFromExpectedGeneration ? Reconfiguration.APPLIED : Reconfiguration.ALREADY_IN_FORCE;
    }
}
