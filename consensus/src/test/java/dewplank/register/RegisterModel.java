package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Explores every order of the steps of a scenario, breadth first, and checks each state. */
final class RegisterModel {
    private static final int CHOSEN = -1;
    private static final int TIMEOUT = 0;
    private static final int STORED = -1;
    private static final int STORE_FAILED = -2;

    private record Key(int process, int action, ModelProcess.Disk disk) {}

    /** The result of a step, with the numbers of its parts; null means that the step does not exist. */
    private record Effect(
            int process,
            int[] stored,
            int uncertain,
            int[] proposals,
            int[] sent,
            List<ModelStep.Confirmation> confirmations,
            Ballot learned) {}

    private record Outgoing(int recipient, String identity, RegisterMessage message) {}

    private final ModelScenario scenario;
    private final boolean traced;
    private final Interner<ModelProcess> processes = new Interner<>();
    private final Interner<DurableState> disks = new Interner<>();
    private final Interner<Outgoing> messages = new Interner<>();
    private final Interner<ModelProposal> proposals = new Interner<>();
    private final Interner<AcceptorId> acceptors = new Interner<>();
    private final Map<Key, Effect> effects = new HashMap<>();
    private final Set<Long> seenStates = new HashSet<>();
    private List<ModelState> frontier = new ArrayList<>();
    private List<ModelState> nextFrontier = new ArrayList<>();
    private int depth;
    private int maxChosen;

    RegisterModel(ModelScenario scenario, boolean traced) {
        this.scenario = scenario;
        this.traced = traced;
        ModelState first = new ModelState();
        int size = scenario.processes.size();
        first.processes = new int[size];
        first.disks = new int[size];
        first.uncertain = new int[size];
        first.timeouts = new int[size];
        for (int index = 0; index < size; index++) {
            ModelProcess process = scenario.processes.get(index);
            first.processes[index] = processes.number(process.print(), process);
            first.disks[index] = number(scenario.disks.get(index));
            first.timeouts[index] = scenario.timeoutsOf(index);
        }
        first.kills = scenario.kills;
        first.failures = scenario.failures;
        first.wipes = scenario.wipes;
        frontier.add(first);
        seenStates.add(first.hash());
    }

    String name() {
        return scenario.name;
    }

    int states() {
        return seenStates.size();
    }

    int depth() {
        return depth;
    }

    /** The largest number of proposals chosen in one state. */
    int maxChosen() {
        return maxChosen;
    }

    /** Whether all states at any depth have been explored. */
    boolean isExhausted() {
        return frontier.isEmpty();
    }

    /** Runs a step of a process in the initial state. */
    RegisterModel runInitially(int process, ModelProcess.Action action) {
        ModelState state = frontier.get(0);
        ModelProcess before = processes.get(state.processes[process]);
        ModelState next = next(state, () -> "initial step at " + process);
        apply(next, process, effect(before.step(action, ModelProcess.Disk.SUCCEEDS)));
        resetTo(next);
        return this;
    }

    /**
     * Runs the initial state in one order of steps without faults to the target state, then drops messages in flight.
     */
    RegisterModel runUntil(Predicate<List<Register>> target) {
        ModelState state = frontier.get(0);
        Set<Long> visited = new HashSet<>(List.of(state.hash()));
        while (!target.test(registers(state))) {
            ModelState next = null;
            for (int index = 0; index < state.messages.length && next == null; index++) {
                next = received(state, state.messages[index], ModelProcess.Disk.SUCCEEDS);
                next = next == null || visited.contains(next.hash()) ? null : next;
            }
            if (next == null) {
                throw new IllegalStateException("the target state is not reached");
            }
            visited.add(next.hash());
            state = next;
        }
        state.messages = new int[0];
        resetTo(state);
        return this;
    }

    /** Restarts a process without a disk in the initial state. */
    RegisterModel restarted(int process) {
        ModelState state = frontier.get(0);
        state.wipes++;
        wipe(state, process);
        resetTo(nextFrontier.get(0));
        return this;
    }

    private void resetTo(ModelState state) {
        frontier = new ArrayList<>(List.of(state));
        seenStates.clear();
        seenStates.add(state.hash());
        nextFrontier.clear();
    }

    private List<Register> registers(ModelState state) {
        List<Register> registers = new ArrayList<>();
        for (int process : state.processes) {
            registers.add(processes.get(process).register());
        }
        return registers;
    }

    /** Explores up to this depth, or until there are no further states. */
    RegisterModel explore(int maxDepth) {
        while (depth < maxDepth && !frontier.isEmpty()) {
            for (ModelState state : frontier) {
                expand(state);
            }
            frontier = nextFrontier;
            nextFrontier = new ArrayList<>();
            depth++;
        }
        return this;
    }

    private void expand(ModelState state) {
        ModelProcess.Disk usualDisk = scenario.slowDisks ? ModelProcess.Disk.IN_FLIGHT : ModelProcess.Disk.SUCCEEDS;
        for (int message : state.messages) {
            add(received(state, message, usualDisk));
            if (!scenario.slowDisks) {
                add(state.failures > 0 ? received(state, message, ModelProcess.Disk.FAILS) : null);
                add(state.kills > 0 ? received(state, message, ModelProcess.Disk.KILLED_AFTER_WRITE) : null);
            }
        }
        for (int process = 0; process < state.processes.length; process++) {
            expand(state, process, usualDisk);
        }
    }

    private void expand(ModelState state, int process, ModelProcess.Disk usualDisk) {
        if (state.timeouts[process] > 0) {
            add(timeout(state, process, usualDisk));
        }
        if (scenario.slowDisks && processes.get(state.processes[process]).storeInFlight() != null) {
            add(stored(state, process, true));
            add(state.failures > 0 ? stored(state, process, false) : null);
        }
        if (state.kills > 0) {
            kill(state, process);
        }
        boolean hasFirstIdentity = disks.get(state.disks[process]).identity().equals(scenario.firstIdentity(process));
        if (state.wipes > 0 && scenario.wiped.contains(process) && hasFirstIdentity) {
            wipe(state, process);
        }
    }

    private void add(ModelState state) {
        if (state != null && seenStates.add(state.hash())) {
            nextFrontier.add(state);
        }
    }

    private ModelState received(ModelState state, int message, ModelProcess.Disk disk) {
        Outgoing outgoing = messages.get(message);
        int process = outgoing.recipient;
        ModelProcess before = processes.get(state.processes[process]);
        String identity = disks.get(state.disks[process]).identity();
        if (!outgoing.identity.isEmpty() && !outgoing.identity.equals(identity)) {
            return null;
        }
        Effect effect = effects.computeIfAbsent(
                new Key(state.processes[process], message, disk),
                key -> effect(before.receive(outgoing.message, disk)));
        boolean fails = disk == ModelProcess.Disk.FAILS;
        boolean killed = disk == ModelProcess.Disk.KILLED_AFTER_WRITE;
        if (fails && effect.uncertain == 0
                || killed && effect.stored.length == 0
                || isRedundant(state, effect, outgoing)) {
            return null;
        }
        ModelState next = next(state, () -> disk + ": " + process + " receives " + print(outgoing));
        next.failures -= fails ? 1 : 0;
        next.kills -= killed ? 1 : 0;
        apply(next, process, effect);
        return next;
    }

    /**
     * Whether a step can be skipped: it changes nothing, or another order of steps covers it. Replies that do not
     * complete a quorum are delivered only in the order of their senders, because they change only the proposer's count
     * and so their order has no other effect.
     */
    private boolean isRedundant(ModelState state, Effect effect, Outgoing outgoing) {
        int process = outgoing.recipient;
        if (effect.process == state.processes[process] && effect.sent.length == 0 && effect.stored.length == 0) {
            return true;
        }
        RegisterMessage message = outgoing.message;
        boolean isCounted = message instanceof Promise || message instanceof Accepted;
        if (!isCounted || effect.sent.length > 0 || !effect.confirmations.isEmpty()) {
            return false;
        }
        String countedBy = message instanceof Promise ? "promised" : "accepted";
        Register<String> register = processes.get(state.processes[process]).register();
        Set<?> counted = (Set<?>) RegisterSnapshot.at(register, "proposer", "state", "round", countedBy);
        return counted != null
                && counted.stream()
                        .map(each -> ((AcceptorId) each).address())
                        .anyMatch(address -> !address.equals(ModelScenario.address(process))
                                && address.compareTo(message.senderAddress()) > 0);
    }

    private ModelState timeout(ModelState state, int process, ModelProcess.Disk disk) {
        ModelProcess before = processes.get(state.processes[process]);
        Effect effect = effects.computeIfAbsent(
                new Key(state.processes[process], TIMEOUT, disk), key -> effect(before.timeout(disk)));
        ModelState next = next(state, () -> "timeout at " + process);
        next.timeouts = ModelState.withElement(state.timeouts, process, state.timeouts[process] - 1);
        apply(next, process, effect);
        return next;
    }

    private ModelState stored(ModelState state, int process, boolean succeeds) {
        ModelProcess before = processes.get(state.processes[process]);
        int action = succeeds ? STORED : STORE_FAILED;
        Effect effect = effects.computeIfAbsent(
                new Key(state.processes[process], action, ModelProcess.Disk.IN_FLIGHT),
                key -> effect(before.stored(succeeds)));
        ModelState next = next(state, () -> (succeeds ? "stored at " : "store failed at ") + process);
        next.failures -= succeeds ? 0 : 1;
        apply(next, process, effect);
        return next;
    }

    /** Kills and restarts a process. Its disk contains the last synced state, a failed store or the store in flight. */
    private void kill(ModelState state, int process) {
        ModelProcess before = processes.get(state.processes[process]);
        List<Integer> possible = new ArrayList<>(List.of(state.disks[process]));
        if (state.uncertain[process] != 0) {
            possible.add(state.uncertain[process]);
        }
        if (before.storeInFlight() != null) {
            possible.add(number(before.storeInFlight()));
        }
        for (int disk : possible) {
            DurableState found = disks.get(disk);
            ModelState next = next(state, () -> "killed " + process + " with " + RegisterSnapshot.print(found));
            next.kills--;
            apply(next, process, restartEffect(before.restarted(found), found));
            add(next);
        }
    }

    private void wipe(ModelState state, int process) {
        String identity = scenario.nextIdentity(process);
        ModelState next = next(state, () -> "wiped " + process);
        next.wipes--;
        ModelProcess wiped = processes.get(state.processes[process]).wiped(identity);
        apply(next, process, restartEffect(wiped, DurableState.fresh(identity)));
        add(next);
    }

    private ModelState next(ModelState state, Supplier<String> step) {
        return state.next(traced ? step.get() : null, traced);
    }

    private Effect restartEffect(ModelProcess process, DurableState found) {
        return new Effect(
                processes.number(process.print(), process),
                new int[] {number(found)},
                0,
                new int[0],
                new int[0],
                List.of(),
                found.chosenBallot());
    }

    private Effect effect(ModelProcess.Result result) {
        return new Effect(
                processes.number(result.process().print(), result.process()),
                result.stored().stream().mapToInt(this::number).toArray(),
                result.uncertain() == null ? 0 : number(result.uncertain()),
                result.proposals().stream().mapToInt(this::number).toArray(),
                result.output().sent.stream().mapToInt(this::number).toArray(),
                result.output().confirmations,
                learnedBallot(result.process()));
    }

    private static Ballot learnedBallot(ModelProcess process) {
        return (Ballot) RegisterSnapshot.at(process.register(), "learner", "chosenBallot");
    }

    private void apply(ModelState next, int process, Effect effect) {
        next.processes = ModelState.withElement(next.processes, process, effect.process);
        for (int proposal : effect.proposals) {
            next.propose(proposal);
        }
        for (int stored : effect.stored) {
            next.disks = ModelState.withElement(next.disks, process, stored);
            next.uncertain = ModelState.withElement(next.uncertain, process, 0);
            DurableState state = disks.get(stored);
            vote(next, new AcceptorId(ModelScenario.address(process), state.identity()), state);
        }
        if (effect.uncertain != 0) {
            next.uncertain = ModelState.withElement(next.uncertain, process, effect.uncertain);
        }
        for (int message : effect.sent) {
            next.send(message);
        }
        recordLearned(next, effect.learned);
        for (ModelStep.Confirmation confirmation : effect.confirmations) {
            checkConfirmed(next, confirmation);
        }
    }

    private void vote(ModelState state, AcceptorId voter, DurableState stored) {
        int bit = 1 << acceptors.number(voter.identity(), voter);
        for (int at = 0; at < state.votes.length; at += 2) {
            ModelProposal proposal = proposals.get(state.votes[at]);
            int voters = state.votes[at + 1];
            if (voters != CHOSEN && proposal.ballot().equals(stored.acceptedBallot()) && (voters & bit) == 0) {
                state.votes = ModelState.withElement(state.votes, at + 1, voters | bit);
                if (proposal.isChosenBy(voters(voters | bit))) {
                    state.votes = ModelState.withElement(state.votes, at + 1, CHOSEN);
                    checkChosen(state, proposal);
                }
            }
        }
    }

    /**
     * Checks that a learned value is chosen by the votes of a quorum. With volatile acceptors a smaller quorum is
     * possible, which depends on the acceptors that the counting process knew to have ended.
     */
    private void recordLearned(ModelState state, Ballot ballot) {
        for (int at = 0; at < state.votes.length; at += 2) {
            ModelProposal proposal = proposals.get(state.votes[at]);
            if (state.votes[at + 1] != CHOSEN && proposal.ballot().equals(ballot)) {
                check(state, proposal.hasVolatileDeciders(), "learned but not chosen: " + proposal);
                state.votes = ModelState.withElement(state.votes, at + 1, CHOSEN);
                checkChosen(state, proposal);
            }
        }
    }

    private Set<AcceptorId> voters(int bits) {
        Set<AcceptorId> voters = new HashSet<>();
        for (int number = 1; number <= acceptors.size(); number++) {
            if ((bits & 1 << number) != 0) {
                voters.add(acceptors.get(number));
            }
        }
        return voters;
    }

    private List<ModelProposal> chosen(ModelState state) {
        List<ModelProposal> chosen = new ArrayList<>();
        for (int at = 0; at < state.votes.length; at += 2) {
            if (state.votes[at + 1] == CHOSEN) {
                chosen.add(proposals.get(state.votes[at]));
            }
        }
        return chosen;
    }

    private void checkChosen(ModelState state, ModelProposal proposal) {
        List<ModelProposal> chosen = chosen(state);
        maxChosen = Math.max(maxChosen, chosen.size());
        for (ModelProposal other : chosen) {
            check(state, proposal.agreesWith(other), "chosen are " + proposal + " and " + other);
        }
        for (int version = 0; version < Integer.SIZE; version++) {
            boolean isRejected = (state.rejected & 1 << version) != 0;
            check(
                    state,
                    !isRejected || !proposal.containsVersion(version),
                    "version " + version + " was rejected and is chosen");
        }
    }

    private void checkConfirmed(ModelState state, ModelStep.Confirmation confirmation) {
        RegisterValue value = confirmation.outcome().value();
        List<ModelProposal> chosen = chosen(state);
        check(state, chosen.stream().anyMatch(each -> each.value().equals(value)), "confirmed but not chosen");
        boolean isRejected =
                confirmation.outcome().result().equals(new RequestResult.OfChange<>(VersionHistory.REJECTED));
        if (isRejected) {
            int version = (int) confirmation.requestId();
            state.rejected |= 1 << version;
            check(
                    state,
                    chosen.stream().noneMatch(each -> each.containsVersion(version)),
                    "rejected although it is chosen");
        }
    }

    private static void check(ModelState state, boolean isSatisfied, String rule) {
        if (!isSatisfied) {
            throw new AssertionError(rule + "\n" + state.trace());
        }
    }

    private int number(DurableState state) {
        return disks.number(RegisterSnapshot.print(state), state);
    }

    private int number(ModelProposal proposal) {
        return proposals.number(RegisterSnapshot.print(proposal), proposal);
    }

    private int number(ModelStep.Sent sent) {
        int recipient = sent.address().charAt(0) - 'a';
        Outgoing outgoing = new Outgoing(recipient, sent.message().recipientIdentity(), sent.message());
        return messages.number(print(outgoing), outgoing);
    }

    private static String print(Outgoing outgoing) {
        return outgoing.recipient + " " + RegisterSnapshot.print(outgoing.message);
    }
}
