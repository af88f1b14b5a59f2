package dewplank.register;

/** Finishes what others left: a value accepted but not known to be chosen, or the second step of a replacement. */
final class CompletionTask implements Task {
    private final double deadline;

    CompletionTask(double deadline) {
        this.deadline = deadline;
    }

    /**
     * The second step of a replacement. It may only be proposed once the joint set is chosen: from then on every
     * proposer with the old set meets it, so that the new majority alone may go on from the second step.
     */
    static Proposal settle(RegisterValue read, RegisterValue chosen) {
        boolean jointIsChosen = chosen != null && chosen.acceptors().equals(read.acceptors());
        if (!read.acceptors().isJoint() || !jointIsChosen) {
            return Proposal.keep(read);
        }
        return Proposal.of(read.withAcceptors(read.acceptors().settled()));
    }

    @Override
    public Proposal propose(RegisterValue read, RegisterValue chosen) {
        return settle(read, chosen);
    }

    @Override
    public boolean isDoneWith(Proposal proposal) {
        return !proposal.value().acceptors().isJoint();
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
        // Nobody asked.
    }
}
