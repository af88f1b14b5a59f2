package dewplank.register;

import java.util.HashSet;
import java.util.Set;

/** One ballot of the proposer: first the promises, then the acceptance of one value. */
final class Round {
    private final Ballot ballot;
    private final Ballot known;
    private final Set<AcceptorId> asked = new HashSet<>();
    private final Set<AcceptorId> promised = new HashSet<>();
    private final Set<AcceptorId> accepted = new HashSet<>();
    private final Set<AcceptorId> refused = new HashSet<>();
    private Ballot readBallot;
    private RegisterValue read;
    private Proposal proposal;
    private double phaseStartedAt;

    Round(Ballot ballot, Ballot readBallot, RegisterValue read, double now) {
        this.ballot = ballot;
        this.readBallot = readBallot;
        this.read = read;
        this.known = readBallot;
        this.phaseStartedAt = now;
    }

    Ballot ballot() {
        return ballot;
    }

    /** The newest value read so far. */
    RegisterValue read() {
        return read;
    }

    /** What the second round proposes; null during the first. */
    Proposal proposal() {
        return proposal;
    }

    boolean isPreparing() {
        return proposal == null;
    }

    /**
     * The ballot of the value the round began with, told to all acceptors: promises leave out values up to it. It
     * must not follow what is learned meanwhile, or a newer value would be left out that the round has not read.
     */
    Ballot known() {
        return known;
    }

    double phaseStartedAt() {
        return phaseStartedAt;
    }

    /** Whether the acceptor has not been asked to promise yet; from now on it has. */
    boolean asks(AcceptorId acceptor) {
        return asked.add(acceptor);
    }

    void promise(AcceptorId acceptor, Ballot valueBallot, RegisterValue value) {
        promised.add(acceptor);
        if (value != null && valueBallot.isAfter(readBallot)) {
            readBallot = valueBallot;
            read = value;
        }
    }

    /**
     * Whether the promises are enough. The value read names who decides: a quorum of that value's acceptors has
     * nothing newer, so nothing newer is chosen below this ballot.
     */
    boolean isPromised() {
        return read.acceptors().isQuorum(promised);
    }

    void propose(Proposal next, double now) {
        proposal = next;
        phaseStartedAt = now;
        refused.clear();
    }

    void accept(AcceptorId acceptor) {
        accepted.add(acceptor);
    }

    /** Whether the proposal is chosen: the acceptors of the value it was built on decide. */
    boolean isChosen() {
        return read.acceptors().isQuorum(accepted);
    }

    void refuse(AcceptorId acceptor) {
        refused.add(acceptor);
    }

    /** Whether those that did not refuse can no longer decide. */
    boolean isLost() {
        Set<AcceptorId> left = new HashSet<>(read.acceptors().all());
        left.removeAll(refused);
        return !read.acceptors().isQuorum(left);
    }
}
