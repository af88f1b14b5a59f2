package dewplank.register;

/** A read by a full ballot, which writes the value back unchanged. */
final class ReadTask<A> implements Task<A> {
    private final long requestId;
    private final double deadlineMs;

    ReadTask(long requestId, double deadlineMs) {
        this.requestId = requestId;
        this.deadlineMs = deadlineMs;
    }

    @Override
    public Proposal<A> propose(RegisterValue read, RegisterValue newestChosen) {
        return Proposal.unchanged(read);
    }

    @Override
    public boolean isCompletedBy(Proposal<A> proposal) {
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
}
