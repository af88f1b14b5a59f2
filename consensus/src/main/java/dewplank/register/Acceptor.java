package dewplank.register;

import java.util.ArrayList;
import java.util.List;

/**
 * The acceptor of one process (CASPaxos, Rystsov 2018, section 2.2). {@link Register} calls it on its own thread. It
 * replies only when the state behind the reply is synced to disk: while a store is in flight, later votes are collected
 * and written together by the next store. Invariant 4 in {@code docs/register.md} covers failed stores.
 */
final class Acceptor {
    /**
     * Maximum number of replies that wait for one store; bounds the memory use while the disk stalls. Further replies
     * are dropped, as if the network had lost them.
     */
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

    /** The state that is known to be synced. */
    DurableState durable() {
        return durable;
    }

    /** The newest state, which may not be on disk yet. */
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
     * Stores a chosen value. The value counts as accepted even if a higher ballot is promised: the proposer of that
     * ballot reads the value from the quorum that chose it.
     */
    void storeChosen(Ballot ballot, RegisterValue value, Register.Effects<?> effects) {
        DurableState next = current.choosing(ballot, value);
        update(ballot.isAfter(current.acceptedBallot()) ? next.accepting(ballot, value) : next);
        startStoreIfIdle(effects);
    }

    /** Handles the completion of the store with this id: sends the replies that waited for it. */
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
     * Handles the failure of the store with this id: drops every vote that is not known to be synced, with its reply.
     * The chosen value stays in memory and is written by a later store.
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

    /** Stores the chosen value again after a failed store. */
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
