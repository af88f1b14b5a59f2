package dewplank.register;

/** A caller's change of the payload. */
final class ChangeTask implements Task {
    private final long request;
    private final Change change;
    private final double deadline;

    ChangeTask(long request, Change change, double deadline) {
        this.request = request;
        this.change = change;
        this.deadline = deadline;
    }

    /** A read by a round: the value is kept. */
    static ChangeTask reading(long request, double deadline) {
        return new ChangeTask(request, payload -> new Decision(null, null), deadline);
    }

    @Override
    public Proposal propose(RegisterValue read, RegisterValue chosen) {
        Decision decision = change.decide(read.payload());
        if (decision.newPayload() == null) {
            return new Proposal(read, decision.answer(), false);
        }
        return new Proposal(read.withPayload(decision.newPayload()), decision.answer(), true);
    }

    @Override
    public boolean isDoneWith(Proposal proposal) {
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
}
