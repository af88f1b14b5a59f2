package dewplank.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The proposer of one process: one task at a time, each by rounds with jittered backoff until it is done. Repairs go
 * before orders: they wait for one round of an order at most, whatever orders are queued.
 */
final class Proposer {
    /** A round that got no quorum gets up to this many times the first round's time, so that slow disks suffice. */
    static final int LONGEST_ROUND = 4;

    /** Doublings of the shortest pause; beyond, the longest pause rules anyway. */
    private static final int MOST_DOUBLINGS = 10;

    /** A repair pauses for four times the shortest pause at most, so that it soon falls into the orders' pauses. */
    private static final int MOST_REPAIR_DOUBLINGS = 2;

    private final Register.Settings settings;
    private final AcceptorId self;
    private final Learner learner;
    private final RandomGenerator random;
    private final String name;
    private final Deque<Task> repairs = new ArrayDeque<>();
    private final Deque<Task> orders = new ArrayDeque<>();
    private Task active;
    private Round round;
    private int attempts;
    private double retryAt;
    private double lastQuorumAt = Double.NEGATIVE_INFINITY;
    private double lastChosenAt = Double.NEGATIVE_INFINITY;

    Proposer(Register.Settings settings, AcceptorId self, Learner learner, RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.learner = learner;
        this.random = random;
        this.name = self.identity() + "." + Long.toHexString(random.nextLong());
    }

    /** Orders that wait or are under way. */
    int pendingOrders() {
        return orders.size() + (active == null || active.isRepair() ? 0 : 1);
    }

    /** Repairs that wait or are under way. */
    int pendingRepairs() {
        return repairs.size() + (active != null && active.isRepair() ? 1 : 0);
    }

    double lastQuorumAt() {
        return lastQuorumAt;
    }

    /**
     * When the second round was sent that last chose a value here: a quorum accepted it after that, so nothing newer
     * was chosen before.
     */
    double lastChosenAt() {
        return lastChosenAt;
    }

    void add(double now, Task task, Register.Effects out) {
        (task.isRepair() ? repairs : orders).add(task);
        startIfIdle(now, out);
    }

    void tick(double now, Register.Effects out) {
        dropLate(now, out);
        if (round != null && now - round.phaseStartedAt() >= timeout()) {
            lose(now);
        }
        giveWay();
        if (active != null && round == null && now >= retryAt) {
            begin(now, out);
        }
        startIfIdle(now, out);
    }

    void promised(double now, Promise message, Register.Effects out) {
        learner.sawAccepted(
                message.accepted(),
                message.value() == null ? null : message.value().acceptors());
        if (round == null || !round.isPreparing() || !message.ballot().equals(round.ballot())) {
            return;
        }
        round.promise(message.from(), message.accepted(), message.value());
        if (round.isPromised()) {
            lastQuorumAt = Math.max(lastQuorumAt, round.phaseStartedAt());
            secondRound(now, out);
        } else {
            prepare(round.read().acceptors(), out);
        }
    }

    void accepted(double now, Accepted message, Register.Effects out) {
        if (round == null || round.isPreparing() || !message.ballot().equals(round.ballot())) {
            return;
        }
        round.accept(message.from());
        if (round.isChosen()) {
            lastQuorumAt = Math.max(lastQuorumAt, round.phaseStartedAt());
            lastChosenAt = Math.max(lastChosenAt, round.phaseStartedAt());
            chosen(now, out);
        }
    }

    void refused(double now, Reject message) {
        learner.sawRound(message.promised());
        if (round == null || !message.ballot().equals(round.ballot())) {
            return;
        }
        round.refuse(message.from());
        if (round.isLost()) {
            lose(now);
        }
    }

    private void startIfIdle(double now, Register.Effects out) {
        if (active != null || repairs.isEmpty() && orders.isEmpty()) {
            return;
        }
        active = repairs.isEmpty() ? orders.poll() : repairs.poll();
        attempts = 0;
        begin(now, out);
    }

    /** An order whose round got no quorum goes on after the repairs that wait. */
    private void giveWay() {
        if (active != null && round == null && !active.isRepair() && !repairs.isEmpty()) {
            orders.addFirst(active);
            active = null;
        }
    }

    private void begin(double now, Register.Effects out) {
        attempts++;
        Ballot ballot = new Ballot(learner.highestRound() + 1, name);
        learner.sawRound(ballot);
        RegisterValue known = learner.chosen();
        RegisterValue read = known != null ? known : new RegisterValue(settings.initial(), 0, null);
        round = new Round(ballot, learner.chosenBallot(), read, now);
        prepare(learner.acceptors(), out);
        if (learner.unfinishedAcceptors() != null) {
            prepare(learner.unfinishedAcceptors(), out);
        }
    }

    private void prepare(AcceptorSet acceptors, Register.Effects out) {
        for (AcceptorId acceptor : acceptors.all()) {
            if (round.asks(acceptor)) {
                out.send(
                        acceptor.address(),
                        new Prepare(
                                self.address(), self.identity(), acceptor.identity(), round.ballot(), round.known()));
            }
        }
    }

    private void secondRound(double now, Register.Effects out) {
        round.propose(active.propose(round.read(), learner.chosen()), now);
        for (AcceptorId acceptor : round.read().acceptors().all()) {
            out.send(
                    acceptor.address(),
                    new Accept(
                            self.address(),
                            self.identity(),
                            acceptor.identity(),
                            round.ballot(),
                            round.proposal().value()));
        }
    }

    private void chosen(double now, Register.Effects out) {
        Round done = round;
        Proposal proposal = done.proposal();
        Task task = active;
        round = null;
        learner.learn(done.ballot(), proposal.value(), out);
        tell(done, out);
        if (task.isDoneWith(proposal)) {
            active = null;
            task.complete(new Outcome.Confirmed(proposal.value(), proposal.answer(), proposal.changed()), out);
            startIfIdle(now, out);
        } else {
            attempts = 0;
            begin(now, out);
        }
    }

    private void tell(Round done, Register.Effects out) {
        RegisterValue value = done.proposal().value();
        Set<AcceptorId> told = new LinkedHashSet<>(done.read().acceptors().all());
        told.addAll(value.acceptors().all());
        for (AcceptorId acceptor : told) {
            if (!acceptor.equals(self)) {
                out.send(
                        acceptor.address(),
                        new Chosen(
                                self.address(), self.identity(), acceptor.identity(), done.ballot(), value.revision()));
            }
        }
    }

    private double timeout() {
        return settings.roundTimeoutMs() * Math.min(attempts, LONGEST_ROUND);
    }

    private void lose(double now) {
        round = null;
        int doublings = active.isRepair() ? MOST_REPAIR_DOUBLINGS : MOST_DOUBLINGS;
        double growing = settings.retryMinimumMs() * (1 << Math.min(attempts, doublings));
        double longest = Math.min(settings.retryMaximumMs(), growing);
        double spread = Math.max(0, longest - settings.retryMinimumMs());
        retryAt = now + settings.retryMinimumMs() + random.nextDouble() * spread;
    }

    /** Gives up what is late; the callers, who may ask anew at once, hear of it when the queue is in order again. */
    private void dropLate(double now, Register.Effects out) {
        List<Task> late = new ArrayList<>();
        for (Deque<Task> queue : List.of(repairs, orders)) {
            for (Task task : queue) {
                if (now >= task.deadline()) {
                    late.add(task);
                }
            }
            queue.removeAll(late);
        }
        if (active != null && now >= active.deadline()) {
            late.add(active);
            active = null;
            round = null;
        }
        for (Task task : late) {
            task.complete(new Outcome.Unknown("no quorum answered in time"), out);
        }
    }
}
