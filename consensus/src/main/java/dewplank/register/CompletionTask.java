package dewplank.register;

/**
 * Completes work that another proposer may have abandoned: a value that is accepted but not known to be chosen, or the
 * second step of a reconfiguration. Added by {@link RoundCompleter}; no caller waits for it.
 */
final class CompletionTask<A> implements Task<A> {
    private final double deadlineMs;

    CompletionTask(double deadlineMs) {
        this.deadlineMs = deadlineMs;
    }

    /**
     * Proposes the second step of a reconfiguration if the joint set is known to be chosen, otherwise the unchanged
     * value. Invariant 5 in {@code docs/register.md} gives the reason.
     */
    static <A> Proposal<A> completeTransition(RegisterValue read, RegisterValue newestChosen) {
        boolean isJointSetChosen =
                newestChosen != null && newestChosen.acceptors().equals(read.acceptors());
        if (!read.acceptors().isJoint() || !isJointSetChosen) {
            return Proposal.unchanged(read);
        }
        return Proposal.changed(read.withAcceptors(read.acceptors().completeTransition()));
    }

    @Override
    public Proposal<A> propose(RegisterValue read, RegisterValue newestChosen) {
        return completeTransition(read, newestChosen);
    }

    @Override
    public boolean isCompletedBy(Proposal<A> proposal) {
        return !proposal.value().acceptors().isJoint();
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
        // No caller waits for the outcome.
    }
}
