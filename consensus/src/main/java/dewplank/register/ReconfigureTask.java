package dewplank.register;

import java.util.List;

/**
 * Replaces the acceptors by way of a joint set, if the set in force is still the one that the decision was worked out
 * from. A replacement found half done is finished first, for a joint set that is chosen leaves no other way on.
 *
 * <p>Generations name sets: each chosen value is built on the one before it, so there is one set for each generation.
 * A caller that was frozen, or one of two callers at once, meets a higher generation than it expects and changes
 * nothing.
 */
final class ReconfigureTask implements Task {
    /** A replacement takes two generations: the joint set and the settled one. */
    private static final int GENERATIONS = 2;

    private final long request;
    private final long expectedGeneration;
    private final List<AcceptorId> wanted;
    private final double deadline;

    ReconfigureTask(long request, long expectedGeneration, List<AcceptorId> wanted, double deadline) {
        this.request = request;
        this.expectedGeneration = expectedGeneration;
        this.wanted = List.copyOf(wanted);
        this.deadline = deadline;
    }

    @Override
    public Proposal propose(RegisterValue read, RegisterValue chosen) {
        AcceptorSet set = read.acceptors();
        if (set.isJoint()) {
            Proposal next = CompletionTask.settle(read, chosen);
            return next.changed() ? answered(next.value(), true) : next;
        }
        if (set.generation() == expectedGeneration && !set.consistsOf(wanted)) {
            return Proposal.of(read.withAcceptors(set.joinedBy(wanted)));
        }
        return answered(read, false);
    }

    @Override
    public boolean isDoneWith(Proposal proposal) {
        return proposal.answer() != null;
    }

    @Override
    public boolean isRepair() {
        return true;
    }

    @Override
    public double deadline() {
        return deadline;
    }

    @Override
    public void complete(Outcome outcome, Register.Effects out) {
        out.completed(request, outcome);
    }

    private Proposal answered(RegisterValue settled, boolean changed) {
        return new Proposal(settled, answer(settled.acceptors()), changed);
    }

    private Reconfiguration answer(AcceptorSet settled) {
        if (!settled.consistsOf(wanted)) {
            return Reconfiguration.OVERTAKEN;
        }
        boolean byThisStep = settled.generation() == expectedGeneration + GENERATIONS;
        return byThisStep ? Reconfiguration.APPLIED : Reconfiguration.FOUND_DONE;
    }
}
