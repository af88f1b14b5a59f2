package dewplank.register;

import java.util.ArrayList;
import java.util.List;

/**
 * The acceptor of one process. It answers only what its disk holds: while a store is under way, later votes wait and
 * go together in the next one.
 */
final class Acceptor {
    /** Answers that may wait for the disk; a lost answer is only asked for again, so a stalled disk costs no memory. */
    static final int MOST_WAITING = 256;

    private record Answer(String address, RegisterMessage message) {}

    private final AcceptorId self;
    private DurableState current;
    private DurableState durable;
    private DurableState storing;
    private long ticket;
    private boolean unsaved;
    private List<Answer> covered = new ArrayList<>();
    private List<Answer> waiting = new ArrayList<>();

    Acceptor(AcceptorId self, DurableState recovered) {
        this.self = self;
        this.current = recovered;
        this.durable = recovered;
    }

    /** What is kept on disk for certain. */
    DurableState durable() {
        return durable;
    }

    /** What is accepted, also when the disk does not hold it yet. */
    DurableState current() {
        return current;
    }

    void prepare(Prepare message, Register.Effects out) {
        Ballot ballot = message.ballot();
        if (current.promised().isAfter(ballot)) {
            refuse(message, ballot, out);
            return;
        }
        if (ballot.isAfter(current.promised())) {
            become(current.promising(ballot));
        }
        boolean known = !current.accepted().isAfter(message.known());
        answer(
                message,
                new Promise(
                        self.address(),
                        self.identity(),
                        message.senderIdentity(),
                        ballot,
                        current.accepted(),
                        known ? null : current.value()),
                out);
    }

    void accept(Accept message, Register.Effects out) {
        Ballot ballot = message.ballot();
        if (current.promised().isAfter(ballot)) {
            refuse(message, ballot, out);
            return;
        }
        if (ballot.isAfter(current.accepted())) {
            become(current.accepting(ballot, message.value()));
        }
        answer(message, new Accepted(self.address(), self.identity(), message.senderIdentity(), ballot), out);
    }

    /**
     * Keeps a value that is chosen. It counts as accepted whatever is promised: a proposer that holds a promise for a
     * higher ballot has met the choosing quorum and read the value there.
     */
    void adopt(Ballot ballot, RegisterValue value, Register.Effects out) {
        DurableState next = current.choosing(ballot, value);
        become(ballot.isAfter(current.accepted()) ? next.accepting(ballot, value) : next);
        storeIfIdle(out);
    }

    void stored(long confirmed, Register.Effects out) {
        if (storing == null || confirmed != ticket) {
            return;
        }
        durable = storing;
        storing = null;
        List<Answer> kept = covered;
        covered = new ArrayList<>();
        for (Answer answer : kept) {
            out.send(answer.address, answer.message);
        }
        storeIfIdle(out);
    }

    /**
     * Forgets every vote the disk does not hold for certain; what is chosen stays known and is saved with a later
     * store.
     *
     * <p>The failed write may yet be on the disk. That is safe: its votes were answered to nobody, so they count for
     * nobody. If a later store succeeds it takes their place, as if their questions had been lost. If the process dies
     * first and finds them, they are cast at that moment, synced by the store before anything rests on them, as if
     * their questions had come only then. What was answered in between rests on the last synced state, which the found
     * one was built on. Never going back instead would refuse lower ballots for a promise that nobody was given, and
     * would not spare a full disk one store. RegisterModelTest forces both ends.
     */
    void storeFailed(long failed) {
        if (storing == null || failed != ticket) {
            return;
        }
        current = durable.choosing(current.chosenBallot(), current.chosen());
        storing = null;
        unsaved = false;
        covered.clear();
        waiting.clear();
    }

    /** Tries again to save what is chosen after a store failed. */
    void saveChosen(Register.Effects out) {
        if (storing == null && current.chosenBallot().isAfter(durable.chosenBallot())) {
            adopt(current.chosenBallot(), current.chosen(), out);
        }
    }

    private void become(DurableState next) {
        current = next;
        unsaved = true;
    }

    private void refuse(RegisterMessage asked, Ballot ballot, Register.Effects out) {
        out.send(
                asked.sender(),
                new Reject(self.address(), self.identity(), asked.senderIdentity(), ballot, current.promised()));
    }

    private void answer(RegisterMessage asked, RegisterMessage message, Register.Effects out) {
        if (unsaved) {
            waitFor(waiting, asked, message);
        } else if (storing != null) {
            waitFor(covered, asked, message);
        } else {
            out.send(asked.sender(), message);
        }
        storeIfIdle(out);
    }

    private static void waitFor(List<Answer> list, RegisterMessage asked, RegisterMessage message) {
        if (list.size() < MOST_WAITING) {
            list.add(new Answer(asked.sender(), message));
        }
    }

    private void storeIfIdle(Register.Effects out) {
        if (storing != null || !unsaved) {
            return;
        }
        storing = current;
        unsaved = false;
        covered = waiting;
        waiting = new ArrayList<>();
        ticket++;
        out.store(ticket, storing);
    }
}
