package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The state of one process between two steps, and the steps that it can perform; immutable. */
final class ModelProcess {
    /** Longer than every timeout and backoff, so that one tick ends a round and the next tick starts another. */
    private static final double AFTER_ALL_TIMEOUTS_MS = 1e9;

    /** The result of the store that a step starts. */
    enum Disk {
        SUCCEEDS,
        FAILS,
        KILLED_AFTER_WRITE,
        IN_FLIGHT
    }

    /**
     * A process after a step.
     *
     * @param process its next state
     * @param output the messages that it sent and the requests that it confirmed
     * @param stored the states that are known to be synced to its disk, in order
     * @param uncertain the state that a failed store may have left on the disk, or null
     * @param proposals its proposals, each with the acceptors that decide
     */
    record Result(
            ModelProcess process,
            ModelStep output,
            List<DurableState> stored,
            DurableState uncertain,
            List<ModelProposal> proposals) {}

    /** An action that runs on a register, with its effects. */
    interface Action {
        void run(Register<String> register, ModelStep effects);
    }

    private final Register.Settings settings;
    private final Set<Class<?>> droppedTypes;
    private final Register<String> register;
    private final int incarnation;
    private final String print;

    private ModelProcess(
            Register.Settings settings, Set<Class<?>> droppedTypes, Register<String> register, int incarnation) {
        this.settings = settings;
        this.droppedTypes = droppedTypes;
        this.register = register;
        this.incarnation = incarnation;
        this.print = RegisterSnapshot.print(register);
    }

    static ModelProcess started(
            Register.Settings settings, Set<Class<?>> droppedTypes, DurableState disk, int incarnation) {
        Register<String> register = new Register<>(settings, disk, new FixedRandom(incarnation));
        RegisterSnapshot.resetClocks(register);
        return new ModelProcess(settings, droppedTypes, register, incarnation);
    }

    /** A text that identifies this state. */
    String print() {
        return settings.address() + " " + print;
    }

    Register<String> register() {
        return register;
    }

    DurableState storeInFlight() {
        return (DurableState) RegisterSnapshot.at(register, "acceptor", "storeInFlight");
    }

    ModelProcess restarted(DurableState disk) {
        return started(settings, droppedTypes, disk, incarnation + 1);
    }

    /** Returns the process restarted with an emptied disk, without initial acceptors. */
    ModelProcess wiped(String identity) {
        Register.Settings blank = new Register.Settings(
                settings.address(),
                AcceptorSet.of(List.of()),
                settings.roundTimeoutMs(),
                settings.retryBackoffMinMs(),
                settings.retryBackoffMaxMs(),
                settings.antiEntropyPeriodMs());
        return started(blank, droppedTypes, DurableState.fresh(identity), incarnation + 1);
    }

    Result receive(RegisterMessage message, Disk disk) {
        return step((next, effects) -> next.handleMessage(0, message, effects), disk);
    }

    /** Lets every timeout expire: a round ends and is retried, and unfinished work is completed. */
    Result timeout(Disk disk) {
        return step(
                (next, effects) -> {
                    next.tick(AFTER_ALL_TIMEOUTS_MS, effects);
                    next.tick(2 * AFTER_ALL_TIMEOUTS_MS, effects);
                },
                disk);
    }

    /** Delivers the result of the store in flight; used if stores take time. */
    Result stored(boolean succeeds) {
        long storeId = (Long) RegisterSnapshot.at(register, "acceptor", "storeId");
        DurableState state = storeInFlight();
        Result result = step(
                (next, effects) -> {
                    if (succeeds) {
                        next.handleStored(0, storeId, effects);
                    } else {
                        next.handleStoreFailed(0, storeId, effects);
                    }
                },
                Disk.IN_FLIGHT);
        return new Result(
                result.process,
                result.output,
                succeeds ? List.of(state) : List.of(),
                succeeds ? null : state,
                result.proposals);
    }

    /** Runs a step and its consequences in the same process: messages to itself are delivered immediately. */
    Result step(Action action, Disk disk) {
        ModelStep effects = new ModelStep(settings.address(), droppedTypes);
        Register<String> next = RegisterSnapshot.copy(register, settings, new FixedRandom(incarnation));
        List<DurableState> stored = new ArrayList<>();
        DurableState uncertain = null;
        action.run(next, effects.of(next));
        DurableState state = disk == Disk.IN_FLIGHT ? null : effects.takePending();
        RegisterMessage selfMessage = effects.takeSelfMessage();
        while (state != null || selfMessage != null) {
            if (state != null && disk == Disk.KILLED_AFTER_WRITE) {
                return killed(state);
            } else if (state != null && disk == Disk.FAILS && uncertain == null) {
                uncertain = state;
                next.handleStoreFailed(0, effects.storeId(), effects);
            } else if (state != null) {
                stored.add(state);
                next.handleStored(0, effects.storeId(), effects);
            } else {
                next.handleMessage(0, selfMessage, effects);
                selfMessage = null;
            }
            state = disk == Disk.IN_FLIGHT ? null : effects.takePending();
            selfMessage = selfMessage == null ? effects.takeSelfMessage() : selfMessage;
        }
        RegisterSnapshot.resetClocks(next);
        return new Result(
                new ModelProcess(settings, droppedTypes, next, incarnation),
                effects,
                stored,
                uncertain,
                effects.proposals);
    }

    private Result killed(DurableState written) {
        return new Result(
                restarted(written), new ModelStep(settings.address(), droppedTypes), List.of(written), null, List.of());
    }
}
