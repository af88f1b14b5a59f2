package dewplank.register;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One process of the replicated register: acceptor, proposer and learner of CASPaxos (Rystsov, "CASPaxos: Replicated
 * State Machines without logs", 2018), with acceptor sets changed by joint consensus (Raft, section 6).
 *
 * <p>The control plane's event loop calls it; it is confined to that thread and not thread-safe. Each method performs
 * one step: it never blocks, reads no clock and does no I/O, but calls the given {@link Effects} to have I/O done. All
 * times are milliseconds of the caller's monotonic clock; {@code nowMs} never decreases. Each request ends with exactly
 * one call of {@link Effects#completed}, unless the incarnation ends first. {@code docs/register.md} contains the
 * invariants and the arguments for them.
 *
 * @param <A> the result of the callers' changes
 */
public final class Register<A> {
    /**
     * Maximum number of pending changes and reads of a process. Further ones immediately end as {@link
     * Outcome.Unknown}.
     */
    public static final int MAX_PENDING_REQUESTS = 64;

    /**
     * Maximum number of pending repairs (reconfigurations and completions of abandoned work), which are counted
     * separately from changes and reads. A lease holder requests one reconfiguration at a time.
     */
    static final int MAX_PENDING_REPAIRS = 4;

    /**
     * The settings, which do not change during an incarnation.
     *
     * @param address the address of this process, as IP:PORT
     * @param initialAcceptors the acceptors before the first chosen value, until {@link #updateInitialAcceptors}
     *     replaces them; an empty set if they are unknown
     * @param roundTimeoutMs how long one phase of a round waits for a quorum
     * @param retryBackoffMinMs the minimum backoff before the next round
     * @param retryBackoffMaxMs the maximum backoff before the next round
     * @param antiEntropyPeriodMs the mean period of anti-entropy
     */
    public record Settings(
            String address,
            AcceptorSet initialAcceptors,
            double roundTimeoutMs,
            double retryBackoffMinMs,
            double retryBackoffMaxMs,
            double antiEntropyPeriodMs) {}

    /**
     * The side effects of a step. Implemented by the owner of the register and called within the step, on its thread.
     */
    public interface Effects<A> {
        /** Sends a message, possibly to this process itself; the message may be lost, delayed or duplicated. */
        void send(String address, RegisterMessage message);

        /**
         * Saves and syncs the state, then calls {@link Register#handleStored} or {@link Register#handleStoreFailed}
         * with the id, in a later step. At most one store is in flight.
         */
        void store(long storeId, DurableState state);

        /** Reports that a value with a higher revision is known to be chosen; revisions never decrease. */
        void learned(RegisterValue value);

        /** Reports the outcome of a request. The implementation may start further requests within the call. */
        void completed(long requestId, Outcome<A> outcome);
    }

    private final AcceptorId self;
    private final Acceptor acceptor;
    private final Learner learner;
    private final Proposer<A> proposer;
    private final Reader<A> reader;
    private final AntiEntropy<A> antiEntropy;

    /**
     * Starts an incarnation from the state recovered from its disk.
     *
     * @param random a generator seeded differently for each incarnation; it provides proposer names and query ids
     */
    public Register(Settings settings, DurableState recovered, RandomGenerator random) {
        Objects.requireNonNull(settings.initialAcceptors());
        QueryIds queryIds = new QueryIds(random);
        self = new AcceptorId(settings.address(), recovered.identity());
        acceptor = new Acceptor(self, recovered);
        learner = new Learner(settings, self, acceptor);
        proposer = new Proposer<>(settings, self, learner, random);
        reader = new Reader<>(settings, self, learner, proposer, queryIds);
        antiEntropy = new AntiEntropy<>(settings, self, learner, proposer, queryIds, random);
    }

    /** Handles a message; a message for another identity is dropped. */
    public void handleMessage(double nowMs, RegisterMessage message, Effects<A> effects) {
        boolean isForThisDisk = message.recipientIdentity().equals(self.identity());
        boolean isForAnyDisk = message.recipientIdentity().equals(RegisterMessage.ANY_IDENTITY);
        if (!isForThisDisk && !isForAnyDisk) {
            return;
        }
        if (message instanceof StatusQuery query) {
            reportStatus(query, effects);
            learner.handleAnnouncement(nowMs, query.senderAddress(), query.chosenBallot(), effects);
        } else if (message instanceof StatusReport report) {
            handleReport(nowMs, report, effects);
        } else if (message instanceof Chosen chosen) {
            learner.handleAnnouncement(nowMs, chosen.senderAddress(), chosen.ballot(), effects);
        } else if (isForThisDisk) {
            handleBallotMessage(nowMs, message, effects);
        }
    }

    /** Handles the completion of the store with this id. */
    public void handleStored(double nowMs, long storeId, Effects<A> effects) {
        acceptor.handleStored(storeId, effects);
    }

    /** Handles the failure of the store with this id: its votes are dropped. */
    public void handleStoreFailed(double nowMs, long storeId, Effects<A> effects) {
        acceptor.handleStoreFailed(storeId);
    }

    /**
     * Changes the payload. The outcome is confirmed, with the result of {@code change}, once the decision is chosen, or
     * unknown at the first tick after the deadline.
     */
    public void change(double nowMs, long requestId, Change<A> change, double deadlineMs, Effects<A> effects) {
        if (admitRequest(requestId, effects)) {
            proposer.add(nowMs, new ChangeTask<>(requestId, change, deadlineMs), effects);
        }
    }

    /** Reads the newest chosen value; the read is linearizable. */
    public void read(double nowMs, long requestId, double deadlineMs, Effects<A> effects) {
        if (admitRequest(requestId, effects)) {
            reader.start(nowMs, requestId, deadlineMs, effects);
        }
    }

    /**
     * Replaces the acceptors through a joint set if the current set has the expected generation. A confirmed outcome
     * has a {@link Reconfiguration} as its result.
     *
     * @param target the new acceptors; if the list is empty, the outcome is unknown
     */
    public void reconfigure(
            double nowMs,
            long requestId,
            long expectedGeneration,
            List<AcceptorId> target,
            double deadlineMs,
            Effects<A> effects) {
        if (target.isEmpty()) {
            effects.completed(requestId, Outcome.Unknown.noTargetAcceptors());
        } else if (admit(proposer.pendingRepairs(), MAX_PENDING_REPAIRS, requestId, effects)) {
            proposer.add(nowMs, new ReconfigureTask<>(requestId, expectedGeneration, target, deadlineMs), effects);
        }
    }

    /** Queries the status of the process at this address, which need not be an acceptor, and fetches a newer value. */
    public void queryStatus(double nowMs, String address, Effects<A> effects) {
        effects.send(
                address,
                new StatusQuery(
                        self.address(),
                        self.identity(),
                        RegisterMessage.ANY_IDENTITY,
                        QueryIds.FETCH,
                        learner.chosenBallot(),
                        true));
    }

    /** Runs timeouts, retries and anti-entropy. To be called every few tens of milliseconds. */
    public void tick(double nowMs, Effects<A> effects) {
        reader.tick(nowMs, effects);
        proposer.tick(nowMs, effects);
        if (antiEntropy.tick(nowMs, effects)) {
            acceptor.retryStoreOfChosen(effects);
        }
    }

    /** The acceptors of the newest value known to be chosen, or the initial acceptors if there is none. */
    public AcceptorSet acceptors() {
        return learner.acceptors();
    }

    /**
     * Replaces the initial acceptors, whose volatile members become known one by one. Has no effect once a value is
     * known to be chosen. Invariant 13 in {@code docs/register.md} lists what the caller has to ensure.
     */
    public void updateInitialAcceptors(AcceptorSet initialAcceptors) {
        learner.updateInitialAcceptors(initialAcceptors);
    }

    /** Volatile acceptors that are known to have ended; a quorum does not need their votes. */
    public Set<AcceptorId> endedAcceptors() {
        return learner.endedAcceptors();
    }

    /** Whether no value is known to be chosen and all initial acceptors are volatile and known to have ended. */
    public boolean areInitialAcceptorsEnded() {
        return learner.chosenValue() == null && learner.acceptors().isEnded(learner.endedAcceptors());
    }

    /** The generation of the acceptors in the last accepted value, even if that value is not on disk yet. */
    public long acceptedGeneration() {
        RegisterValue accepted = acceptor.current().acceptedValue();
        return accepted == null ? 0 : accepted.acceptors().generation();
    }

    /** The newest value known to be chosen; null if there is none. */
    public RegisterValue chosenValue() {
        return learner.chosenValue();
    }

    /** The start time of the last query or phase to which a quorum replied; negative infinity before the first. */
    public double lastQuorumAtMs() {
        return Math.max(proposer.lastQuorumAtMs(), antiEntropy.lastQuorumAtMs());
    }

    /**
     * Whether {@link #chosenValue} was the newest chosen value at some time within the last {@code withinMs}. A process
     * that has a quorum but has not caught up is not current: invariant 8 in {@code docs/register.md}.
     */
    public boolean isCurrent(double nowMs, double withinMs) {
        return lastCurrentAtMs() >= nowMs - withinMs;
    }

    /**
     * The latest time at which {@link #chosenValue} is known to have been the newest chosen value; negative infinity if
     * no such time is known. Invariant 8 in {@code docs/register.md}.
     */
    public double lastCurrentAtMs() {
        return Math.max(proposer.lastChosenAtMs(), antiEntropy.lastCurrentAtMs());
    }

    /** Whether this process is one of the acceptors. */
    public boolean isAcceptor() {
        return acceptors().all().contains(self);
    }

    private boolean admitRequest(long requestId, Effects<A> effects) {
        int pending = proposer.pendingRequests() + reader.pendingReads();
        return admit(pending, MAX_PENDING_REQUESTS, requestId, effects);
    }

    private boolean admit(int pending, int maxPending, long requestId, Effects<A> effects) {
        if (pending < maxPending) {
            return true;
        }
        effects.completed(requestId, Outcome.Unknown.tooManyRequests());
        return false;
    }

    private void handleBallotMessage(double nowMs, RegisterMessage message, Effects<A> effects) {
        if (message instanceof Prepare prepare) {
            learner.observeRound(prepare.ballot());
            acceptor.handlePrepare(prepare, effects);
        } else if (message instanceof Accept accept) {
            learner.observeRound(accept.ballot());
            acceptor.handleAccept(accept, effects);
        } else if (message instanceof Promise promise) {
            proposer.handlePromise(nowMs, promise, effects);
        } else if (message instanceof Accepted accepted) {
            proposer.handleAccepted(nowMs, accepted, effects);
        } else if (message instanceof Reject reject) {
            proposer.handleReject(nowMs, reject);
        } else {
            throw new IllegalStateException(
                    "unhandled message " + message.getClass().getSimpleName());
        }
    }

    private void reportStatus(StatusQuery query, Effects<A> effects) {
        DurableState durable = acceptor.durable();
        boolean sendsValue = query.wantsValue() && learner.chosenBallot().isAfter(query.chosenBallot());
        boolean isAcceptedNewer = durable.acceptedBallot().isAfter(query.chosenBallot());
        RegisterValue chosen = learner.chosenValue();
        effects.send(
                query.senderAddress(),
                new StatusReport(
                        self.address(),
                        self.identity(),
                        query.senderIdentity(),
                        query.queryId(),
                        durable.acceptedBallot(),
                        isAcceptedNewer ? durable.acceptedValue().acceptors() : null,
                        learner.chosenBallot(),
                        chosen == null ? 0 : chosen.revision(),
                        sendsValue ? chosen : null));
    }

    private void handleReport(double nowMs, StatusReport report, Effects<A> effects) {
        if (report.chosenValue() != null) {
            learner.learnChosen(report.chosenBallot(), report.chosenValue(), effects);
        } else {
            learner.handleAnnouncement(nowMs, report.senderAddress(), report.chosenBallot(), effects);
        }
        if (report.queryId() == QueryIds.FETCH) {
            learner.handleFetchReport(nowMs, report.chosenValue() != null, effects);
        }
        learner.observeAccepted(report.acceptedBallot(), report.acceptedAcceptors());
        reader.handleReport(nowMs, report, effects);
        antiEntropy.handleReport(report, effects);
    }
}
