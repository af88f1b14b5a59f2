package dewplank.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The proposer of one process (CASPaxos, Rystsov 2018, section 2.2). It runs one task at a time, in rounds with
 * jittered backoff until the task is complete. Repairs run before callers' requests, so a repair waits for at most one
 * round of a request, regardless of the queue length. {@link Register} calls it on its own thread; {@link
 * Task#complete} may call {@link #add} again.
 *
 * @param <A> the result of the callers' changes
 */
final class Proposer<A> {
    /**
     * Maximum round timeout as a multiple of the first one. The timeout grows with each attempt, to allow for slow
     * disks.
     */
    static final int MAX_ROUND_TIMEOUT_FACTOR = 4;

    /** Maximum number of doublings of the minimum backoff; beyond it the maximum backoff applies anyway. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /**
     * Maximum number of doublings for a repair, which it thus retries after at most four times the minimum backoff,
     * while requests back off for longer.
     */
    private static final int MAX_REPAIR_BACKOFF_DOUBLINGS = 2;

    private final Register.Settings settings;
    private final AcceptorId self;
    private final Learner learner;
    private final RandomGenerator random;
    private final String name;
    private final Deque<Task<A>> repairs = new ArrayDeque<>();
    private final Deque<Task<A>> requests = new ArrayDeque<>();
    private ProposerState<A> state = new ProposerState.Idle<>();
    private double lastQuorumAtMs = Double.NEGATIVE_INFINITY;
    private double lastChosenAtMs = Double.NEGATIVE_INFINITY;

    Proposer(Register.Settings settings, AcceptorId self, Learner learner, RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.learner = learner;
        this.random = random;
        this.name = self.identity() + "." + Long.toHexString(random.nextLong());
    }

    /** Callers' requests that are queued or active. */
    int pendingRequests() {
        Task<A> active = state.task();
        return requests.size() + (active == null || active.isRepair() ? 0 : 1);
    }

    /** Repairs that are queued or active. */
    int pendingRepairs() {
        Task<A> active = state.task();
        return repairs.size() + (active != null && active.isRepair() ? 1 : 0);
    }

    /** The start time of the last phase to which a quorum replied; negative infinity before the first. */
    double lastQuorumAtMs() {
        return lastQuorumAtMs;
    }

    /**
     * The start time of the last accept phase of this proposer that chose a value; negative infinity before the first.
     * A quorum accepted the value after that time, so nothing newer was chosen before it.
     */
    double lastChosenAtMs() {
        return lastChosenAtMs;
    }

    /** Queues a task, and starts it immediately if no task is active. */
    void add(double nowMs, Task<A> task, Register.Effects<A> effects) {
        (task.isRepair() ? repairs : requests).add(task);
        startNextIfIdle(nowMs, effects);
    }

    /** Completes overdue tasks, ends rounds that timed out, and retries after the backoff. */
    void tick(double nowMs, Register.Effects<A> effects) {
        completeOverdue(nowMs, effects);
        if (state instanceof ProposerState.InRound<A> inRound && isTimedOut(nowMs, inRound)) {
            backOff(nowMs, inRound);
        }
        yieldToRepairs();
        if (state instanceof ProposerState.BackingOff<A> backingOff && nowMs >= backingOff.retryAtMs()) {
            startRound(nowMs, backingOff.task(), backingOff.attempt() + 1, effects);
        }
        startNextIfIdle(nowMs, effects);
    }

    void handlePromise(double nowMs, Promise promise, Register.Effects<A> effects) {
        learner.observeAccepted(
                promise.acceptedBallot(),
                promise.acceptedValue() == null ? null : promise.acceptedValue().acceptors());
        if (!(state instanceof ProposerState.InRound<A> inRound)
                || !inRound.round().isPreparing()
                || !promise.ballot().equals(inRound.round().ballot())
                || isTimedOut(nowMs, inRound)) {
            return;
        }
        Round<A> round = inRound.round();
        round.addPromise(promise.senderId(), promise.acceptedBallot(), promise.acceptedValue());
        if (round.isPromisedByQuorum()) {
            lastQuorumAtMs = Math.max(lastQuorumAtMs, round.phaseStartedAtMs());
            startAcceptPhase(nowMs, inRound, effects);
        } else {
            sendPrepare(round, round.read().acceptors(), effects);
        }
    }

    void handleAccepted(double nowMs, Accepted accepted, Register.Effects<A> effects) {
        if (!(state instanceof ProposerState.InRound<A> inRound)
                || inRound.round().isPreparing()
                || !accepted.ballot().equals(inRound.round().ballot())
                || isTimedOut(nowMs, inRound)) {
            return;
        }
        Round<A> round = inRound.round();
        round.addAcceptance(accepted.senderId());
        if (round.isAcceptedByQuorum()) {
            lastQuorumAtMs = Math.max(lastQuorumAtMs, round.phaseStartedAtMs());
            lastChosenAtMs = Math.max(lastChosenAtMs, round.phaseStartedAtMs());
            finishRound(nowMs, inRound, effects);
        }
    }

    void handleReject(double nowMs, Reject reject) {
        learner.observeRound(reject.promisedBallot());
        if (!(state instanceof ProposerState.InRound<A> inRound)
                || !reject.ballot().equals(inRound.round().ballot())) {
            return;
        }
        inRound.round().addRejection(reject.senderId());
        if (inRound.round().isRejected()) {
            backOff(nowMs, inRound);
        }
    }

    /** Enters a state; throws if the transition from the current state is not allowed. */
    private void transitionTo(ProposerState<A> next) {
        if (!state.canTransitionTo(next)) {
            throw new IllegalStateException("illegal transition of the proposer from "
                    + state.getClass().getSimpleName() + " to "
                    + next.getClass().getSimpleName());
        }
        state = next;
    }

    private void startNextIfIdle(double nowMs, Register.Effects<A> effects) {
        if (!(state instanceof ProposerState.Idle) || repairs.isEmpty() && requests.isEmpty()) {
            return;
        }
        Task<A> next = repairs.isEmpty() ? requests.poll() : repairs.poll();
        startRound(nowMs, next, 1, effects);
    }

    /** Returns a request that is backing off to the front of the queue if a repair is waiting. */
    private void yieldToRepairs() {
        if (state instanceof ProposerState.BackingOff<A> backingOff
                && !backingOff.task().isRepair()
                && !repairs.isEmpty()) {
            requests.addFirst(backingOff.task());
            transitionTo(new ProposerState.Idle<>());
        }
    }

    private void startRound(double nowMs, Task<A> task, int attempt, Register.Effects<A> effects) {
        Ballot ballot = new Ballot(learner.highestRound() + 1, name);
        learner.observeRound(ballot);
        RegisterValue chosen = learner.chosenValue();
        RegisterValue read = chosen != null ? chosen : new RegisterValue(learner.acceptors(), 0, null);
        Round<A> round = new Round<>(ballot, learner.chosenBallot(), read, learner.endedAcceptors(), nowMs);
        transitionTo(new ProposerState.InRound<>(task, attempt, round));
        sendPrepare(round, learner.acceptors(), effects);
        learner.unconfirmedAcceptors().ifPresent(acceptors -> sendPrepare(round, acceptors, effects));
    }

    private void sendPrepare(Round<A> round, AcceptorSet acceptors, Register.Effects<A> effects) {
        for (AcceptorId acceptor : acceptors.all()) {
            if (round.markPrepared(acceptor)) {
                effects.send(
                        acceptor.address(),
                        new Prepare(
                                self.address(),
                                self.identity(),
                                acceptor.identity(),
                                round.ballot(),
                                round.chosenAtStart()));
            }
        }
    }

    private void startAcceptPhase(double nowMs, ProposerState.InRound<A> inRound, Register.Effects<A> effects) {
        Round<A> round = inRound.round();
        round.startAcceptPhase(inRound.task().propose(round.read(), learner.chosenValue()), nowMs);
        for (AcceptorId acceptor : round.read().acceptors().all()) {
            effects.send(
                    acceptor.address(),
                    new Accept(
                            self.address(),
                            self.identity(),
                            acceptor.identity(),
                            round.ballot(),
                            round.proposal().value()));
        }
    }

    private void finishRound(double nowMs, ProposerState.InRound<A> inRound, Register.Effects<A> effects) {
        Round<A> round = inRound.round();
        Proposal<A> proposal = round.proposal();
        Task<A> task = inRound.task();
        transitionTo(new ProposerState.Announcing<>(task));
        learner.learnChosen(round.ballot(), proposal.value(), effects);
        announceChosen(round, effects);
        if (task.isCompletedBy(proposal)) {
            transitionTo(new ProposerState.Idle<>());
            task.complete(new Outcome.Confirmed<>(proposal.value(), proposal.result(), proposal.changed()), effects);
            startNextIfIdle(nowMs, effects);
        } else {
            startRound(nowMs, task, 1, effects);
        }
    }

    private void announceChosen(Round<A> round, Register.Effects<A> effects) {
        RegisterValue value = round.proposal().value();
        Set<AcceptorId> recipients =
                new LinkedHashSet<>(round.read().acceptors().all());
        recipients.addAll(value.acceptors().all());
        for (AcceptorId recipient : recipients) {
            if (!recipient.equals(self)) {
                effects.send(
                        recipient.address(),
                        new Chosen(
                                self.address(),
                                self.identity(),
                                recipient.identity(),
                                round.ballot(),
                                value.revision()));
            }
        }
    }

    /**
     * Whether the phase has timed out. Votes that arrive afterwards are not counted: a process that was suspended ends
     * its round instead.
     */
    private boolean isTimedOut(double nowMs, ProposerState.InRound<A> inRound) {
        return nowMs - inRound.round().phaseStartedAtMs() >= roundTimeoutMs(inRound.attempt());
    }

    private double roundTimeoutMs(int attempt) {
        return settings.roundTimeoutMs() * Math.min(attempt, MAX_ROUND_TIMEOUT_FACTOR);
    }

    private void backOff(double nowMs, ProposerState.InRound<A> inRound) {
        int maxDoublings = inRound.task().isRepair() ? MAX_REPAIR_BACKOFF_DOUBLINGS : MAX_BACKOFF_DOUBLINGS;
        double exponentialMs = settings.retryBackoffMinMs() * (1 << Math.min(inRound.attempt(), maxDoublings));
        double maxMs = Math.min(settings.retryBackoffMaxMs(), exponentialMs);
        double jitterRangeMs = Math.max(0, maxMs - settings.retryBackoffMinMs());
        double retryAtMs = nowMs + settings.retryBackoffMinMs() + random.nextDouble() * jitterRangeMs;
        transitionTo(new ProposerState.BackingOff<>(inRound.task(), inRound.attempt(), retryAtMs));
    }

    /**
     * Completes overdue tasks as unknown. Callers are notified only when the queues are consistent, because they may
     * add tasks within the call.
     */
    private void completeOverdue(double nowMs, Register.Effects<A> effects) {
        List<Task<A>> overdue = new ArrayList<>();
        for (Deque<Task<A>> queue : List.of(repairs, requests)) {
            for (Task<A> task : queue) {
                if (nowMs >= task.deadlineMs()) {
                    overdue.add(task);
                }
            }
            queue.removeAll(overdue);
        }
        Task<A> active = state.task();
        if (active != null && nowMs >= active.deadlineMs()) {
            overdue.add(active);
            transitionTo(new ProposerState.Idle<>());
        }
        for (Task<A> task : overdue) {
            task.complete(Outcome.Unknown.noQuorum(), effects);
        }
    }
}
