package dewplank.register;

/** Applies a caller's {@link Change} to the payload. */
final class ChangeTask implements Task {
    private final long requestId;
    private final Change change;
    private final double deadlineMs;

    ChangeTask(long requestId, Change change, double deadlineMs) {
        this.requestId = requestId;
        this.change = change;
        this.deadlineMs = deadlineMs;
    }

    /** A read by a full ballot, which writes the value back unchanged. */
    static ChangeTask reading(long requestId, double deadlineMs) {
        return new ChangeTask(requestId, payload -> new Decision(null, null), deadlineMs);
    }

    @Override
    public Proposal propose(RegisterValue read, RegisterValue newestChosen) {
        Decision decision = change.decide(read.payload());
        if (decision.newPayload() == null) {
            return new Proposal(read, decision.answer(), false);
        }
        return new Proposal(read.withPayload(decision.newPayload()), decision.answer(), true);
    }

    @Override
    public boolean isCompletedBy(Proposal proposal) {
        return true;
    }

    @Override
    public double deadlineMs() {
        return deadlineMs;
    }

    @Override
    public void complete(Outcome outcome, Register.Effects effects) {
        effects.completed(requestId, outcome);
    }
}
