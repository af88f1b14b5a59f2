package dewplank.register;

/** Applies a caller's {@link Change} to the payload. */
final class ChangeTask<A> implements Task<A> {
    private final long requestId;
    private final Change<A> change;
    private final double deadlineMs;

    ChangeTask(long requestId, Change<A> change, double deadlineMs) {
        this.requestId = requestId;
        this.change = change;
        this.deadlineMs = deadlineMs;
    }

    @Override
    public Proposal<A> propose(RegisterValue read, RegisterValue newestChosen) {
        Decision<A> decision = change.decide(read.payload());
        RequestResult<A> result = new RequestResult.OfChange<>(decision.result());
        if (decision.newPayload() == null) {
            return new Proposal<>(read, result, false);
        }
        return new Proposal<>(read.withPayload(decision.newPayload()), result, true);
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
