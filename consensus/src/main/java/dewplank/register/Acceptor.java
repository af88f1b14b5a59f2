package dewplank.register;

import java.util.ArrayList;
import java.util.List;

/**
 * The acceptor of one process (CASPaxos, Rystsov 2018, section 2.2). {@link Register} calls it on its own thread. It
 * answers only what its disk has synced: while a store is in flight, later votes are collected and go together into the
 * next one. The argument for a failed store is invariant 4 in {@code docs/register.md}.
 */
final class Acceptor {
    /** Replies that may wait for the disk. More are dropped as if lost, so a stalled disk costs no memory. */
    static final int MAX_PENDING_REPLIES = 256;

    private record PendingReply(String address, RegisterMessage message) {}

    private final AcceptorId self;
    private DurableState current;
    private DurableState durable;
    private DurableState storeInFlight;
    private long storeId;
    private boolean isStoreNeeded;
    private List<PendingReply> repliesToStoreInFlight = new ArrayList<>();
    private List<PendingReply> repliesToNextStore = new ArrayList<>();

    Acceptor(AcceptorId self, DurableState recovered) {
        this.self = self;
        this.current = recovered;
        this.durable = recovered;
    }

    /** The state that is synced for certain. */
    DurableState durable() {
        return durable;
    }

    /** The newest state, which the disk may not hold yet. */
    DurableState current() {
        return current;
    }

    /** Promises the ballot unless a higher one is promised. */
    void handlePrepare(Prepare prepare, Register.Effects<?> effects) {
        Ballot ballot = prepare.ballot();
        if (current.promisedBallot().isAfter(ballot)) {
            reject(prepare, ballot, effects);
            return;
        }
        if (ballot.isAfter(current.promisedBallot())) {
            update(current.promising(ballot));
        }
        boolean isValueNewer = current.acceptedBallot().isAfter(prepare.chosenBallot());
        replyOnceStored(
                prepare,
                new Promise(
                        self.address(),
                        self.identity(),
                        prepare.senderIdentity(),
                        ballot,
                        current.acceptedBallot(),
                        isValueNewer ? current.acceptedValue() : null),
                effects);
    }

    /** Accepts the value unless a higher ballot is promised. */
    void handleAccept(Accept accept, Register.Effects<?> effects) {
        Ballot ballot = accept.ballot();
        if (current.promisedBallot().isAfter(ballot)) {
            reject(accept, ballot, effects);
            return;
        }
        if (ballot.isAfter(current.acceptedBallot())) {
            update(current.accepting(ballot, accept.value()));
        }
        replyOnceStored(
                accept, new Accepted(self.address(), self.identity(), accept.senderIdentity(), ballot), effects);
    }

    /**
     * Stores a value that is chosen. It counts as accepted whatever is promised: a proposer with a promise for a higher
     * ballot has met the choosing quorum and read the value there.
     */
    void storeChosen(Ballot ballot, RegisterValue value, Register.Effects<?> effects) {
        DurableState next = current.choosing(ballot, value);
        update(ballot.isAfter(current.acceptedBallot()) ? next.accepting(ballot, value) : next);
        startStoreIfIdle(effects);
    }

    /** The store with this id is synced: sends the replies that waited for it. */
    void handleStored(long id, Register.Effects<?> effects) {
        if (storeInFlight == null || id != storeId) {
            return;
        }
        durable = storeInFlight;
        storeInFlight = null;
        List<PendingReply> replies = repliesToStoreInFlight;
        repliesToStoreInFlight = new ArrayList<>();
        for (PendingReply reply : replies) {
            effects.send(reply.address, reply.message);
        }
        startStoreIfIdle(effects);
    }

    /**
     * The store with this id failed: drops every vote that is not synced for certain, with its reply. What is chosen
     * stays in memory and goes into a later store.
     */
    void handleStoreFailed(long id) {
        if (storeInFlight == null || id != storeId) {
            return;
        }
        current = durable.choosing(current.chosenBallot(), current.chosenValue());
        storeInFlight = null;
        isStoreNeeded = false;
        repliesToStoreInFlight.clear();
        repliesToNextStore.clear();
    }

    /** Retries to store the chosen value after a failed store. */
    void retryStoreOfChosen(Register.Effects<?> effects) {
        if (storeInFlight == null && current.chosenBallot().isAfter(durable.chosenBallot())) {
            storeChosen(current.chosenBallot(), current.chosenValue(), effects);
        }
    }

    private void update(DurableState next) {
        current = next;
        isStoreNeeded = true;
    }

    private void reject(RegisterMessage request, Ballot ballot, Register.Effects<?> effects) {
        effects.send(
                request.senderAddress(),
                new Reject(
                        self.address(), self.identity(), request.senderIdentity(), ballot, current.promisedBallot()));
    }

    private void replyOnceStored(RegisterMessage request, RegisterMessage reply, Register.Effects<?> effects) {
        if (isStoreNeeded) {
            addPending(repliesToNextStore, request, reply);
        } else if (storeInFlight != null) {
            addPending(repliesToStoreInFlight, request, reply);
        } else {
            effects.send(request.senderAddress(), reply);
        }
        startStoreIfIdle(effects);
    }

    private static void addPending(List<PendingReply> replies, RegisterMessage request, RegisterMessage reply) {
        if (replies.size() < MAX_PENDING_REPLIES) {
            replies.add(new PendingReply(request.senderAddress(), reply));
        }
    }

    private void startStoreIfIdle(Register.Effects<?> effects) {
        if (storeInFlight != null || !isStoreNeeded) {
            return;
        }
        storeInFlight = current;
        isStoreNeeded = false;
        repliesToStoreInFlight = repliesToNextStore;
        repliesToNextStore = new ArrayList<>();
        storeId++;
        effects.store(storeId, storeInFlight);
    }
}
