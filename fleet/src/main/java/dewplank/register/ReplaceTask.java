package dewplank.register;

import java.util.List;

/** Replaces the acceptors by way of a joint set; a replacement found half done is finished first. */
final class ReplaceTask implements Task {
    private final long request;
    private final List<Acceptor> wanted;
    private final double deadline;

    ReplaceTask(long request, List<Acceptor> wanted, double deadline) {
        this.request = request;
        this.wanted = List.copyOf(wanted);
        this.deadline = deadline;
    }

    @Override
    public Proposal propose(RegisterValue read, RegisterValue chosen) {
        if (read.acceptors().isJoint()) {
            return FinishTask.settle(read, chosen);
        }
        if (read.acceptors().consistsOf(wanted)) {
            return Proposal.keep(read);
        }
        return Proposal.of(read.withAcceptors(read.acceptors().joinedBy(wanted)));
    }

    @Override
    public boolean isDoneWith(Proposal proposal) {
        return proposal.value().acceptors().consistsOf(wanted);
    }

    @Override
    public double deadline() {
        return deadline;
    }

    @Override
    public void complete(Outcome outcome, Register.Output out) {
        out.completed(request, outcome);
    }
}
