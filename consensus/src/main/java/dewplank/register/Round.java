package dewplank.register;

import java.util.HashSet;
import java.util.Set;

/**
 * One ballot of the proposer: the prepare phase collects promises, then the accept phase collects acceptances of one
 * proposal. {@link #startAcceptPhase} starts the second phase.
 *
 * @param <A> the result of the callers' changes
 */
final class Round<A> {
    private final Ballot ballot;
    private final Ballot chosenAtStart;
    private final Set<AcceptorId> endedAtStart;
    private final Set<AcceptorId> prepared = new HashSet<>();
    private final Set<AcceptorId> promised = new HashSet<>();
    private final Set<AcceptorId> accepted = new HashSet<>();
    private final Set<AcceptorId> rejected = new HashSet<>();
    private Ballot readBallot;
    private RegisterValue read;
    private Proposal<A> proposal;
    private double phaseStartedAtMs;

    /**
     * Creates a round; to be called before any of its requests is sent.
     *
     * @param ended volatile acceptors known to have ended; those found to have ended later remain required in
     *     this round, see invariant 13
     */
    Round(Ballot ballot, Ballot readBallot, RegisterValue read, Set<AcceptorId> ended, double nowMs) {
        this.ballot = ballot;
        this.readBallot = readBallot;
        this.read = read;
        this.chosenAtStart = readBallot;
        this.endedAtStart = ended;
        this.phaseStartedAtMs = nowMs;
    }

    Ballot ballot() {
        return ballot;
    }

    /** The newest value read so far. */
    RegisterValue read() {
        return read;
    }

    /** The proposal of the accept phase. */
    Proposal<A> proposal() {
        if (isPreparing()) {
            throw new IllegalStateException("no proposal in the prepare phase of ballot " + ballot);
        }
        return proposal;
    }

    boolean isPreparing() {
        return proposal == null;
    }

    /**
     * The newest ballot known to be chosen at the start of the round; promises omit values up to it. It does not change
     * when newer values are learned, because promises would then omit values that the round has not read.
     */
    Ballot chosenAtStart() {
        return chosenAtStart;
    }

    double phaseStartedAtMs() {
        return phaseStartedAtMs;
    }

    /** Records that the acceptor is sent a prepare request; returns whether this is the first one. */
    boolean markPrepared(AcceptorId acceptor) {
        return prepared.add(acceptor);
    }

    void addPromise(AcceptorId acceptor, Ballot acceptedBallot, RegisterValue acceptedValue) {
        promised.add(acceptor);
        if (acceptedValue != null && acceptedBallot.isAfter(readBallot)) {
            readBallot = acceptedBallot;
            read = acceptedValue;
        }
    }

    /** Whether a quorum of the acceptors of the value read has promised: invariant 2 in {@code docs/register.md}. */
    boolean isPromisedByQuorum() {
        return read.acceptors().isQuorum(promised, endedAtStart);
    }

    /** Ends the prepare phase; throws if it has already ended. */
    void startAcceptPhase(Proposal<A> next, double nowMs) {
        if (!isPreparing()) {
            throw new IllegalStateException("ballot " + ballot + " already has a proposal");
        }
        proposal = next;
        phaseStartedAtMs = nowMs;
        rejected.clear();
    }

    void addAcceptance(AcceptorId acceptor) {
        accepted.add(acceptor);
    }

    /** Whether a quorum of the acceptors of the value read has accepted the proposal, so that it is chosen. */
    boolean isAcceptedByQuorum() {
        return read.acceptors().isQuorum(accepted, endedAtStart);
    }

    void addRejection(AcceptorId acceptor) {
        rejected.add(acceptor);
    }

    /** Whether the acceptors that have not rejected the ballot no longer form a quorum. */
    boolean isRejected() {
        Set<AcceptorId> remaining = new HashSet<>(read.acceptors().all());
        remaining.removeAll(rejected);
        return !read.acceptors().isQuorum(remaining, endedAtStart);
    }
}
