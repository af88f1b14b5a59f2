package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The state of one process between two steps, and the steps it can take; immutable. */
final class ModelProcess {
    /** Longer than every timeout and pause, so that one tick ends a round and the next begins another. */
    private static final double LONG = 1e9;

    /** What becomes of the store that a step asks for. */
    enum Disk {
        WORKS,
        FAILS,
        KILLED_AFTER_WRITE,
        LATER
    }

    /**
     * A process after a step.
     *
     * @param process its next state
     * @param output what it sent and answered
     * @param kept what its disk came to hold for certain, in order
     * @param perhaps what a failed store may have left on the disk, or null
     * @param proposals what it proposes, and on which acceptors' decision
     */
    record Result(
            ModelProcess process,
            ModelStep output,
            List<DurableState> kept,
            DurableState perhaps,
            List<ModelProposal> proposals) {}

    /** A step, given the register and where its wishes go. */
    interface Action {
        void run(Register register, ModelStep out);
    }

    private final Register.Settings settings;
    private final Set<Class<?>> lost;
    private final Register register;
    private final int life;
    private final String print;

    private ModelProcess(Register.Settings settings, Set<Class<?>> lost, Register register, int life) {
        this.settings = settings;
        this.lost = lost;
        this.register = register;
        this.life = life;
        this.print = RegisterImage.print(register);
    }

    static ModelProcess started(Register.Settings settings, Set<Class<?>> lost, DurableState disk, int life) {
        Register register = new Register(settings, disk, new FixedRandom(life));
        RegisterImage.forgetClocks(register);
        return new ModelProcess(settings, lost, register, life);
    }

    /** What distinguishes it from other states. */
    String print() {
        return settings.address() + " " + print;
    }

    Register register() {
        return register;
    }

    DurableState storing() {
        return (DurableState) RegisterImage.at(register, "acceptor", "storeInFlight");
    }

    ModelProcess restarted(DurableState disk) {
        return started(settings, lost, disk, life + 1);
    }

    /** A process with an emptied disk knows no acceptors to begin with. */
    ModelProcess wiped(String identity) {
        Register.Settings blank = new Register.Settings(
                settings.address(),
                AcceptorSet.of(List.of()),
                settings.roundTimeoutMs(),
                settings.retryBackoffMinMs(),
                settings.retryBackoffMaxMs(),
                settings.antiEntropyPeriodMs());
        return started(blank, lost, DurableState.fresh(identity), life + 1);
    }

    Result receive(RegisterMessage message, Disk disk) {
        return step((next, out) -> next.handleMessage(0, message, out), disk);
    }

    /** Every timeout passes: a round is given up and begun anew, what is stuck is finished. */
    Result timeout(Disk disk) {
        return step(
                (next, out) -> {
                    next.tick(LONG, out);
                    next.tick(2 * LONG, out);
                },
                disk);
    }

    /** The result of the store under way, where stores take time. */
    Result stored(boolean works) {
        long ticket = (Long) RegisterImage.at(register, "acceptor", "storeId");
        DurableState state = storing();
        Result result = step(
                (next, out) -> {
                    if (works) {
                        next.handleStored(0, ticket, out);
                    } else {
                        next.handleStoreFailed(0, ticket, out);
                    }
                },
                Disk.LATER);
        return new Result(
                result.process,
                result.output,
                works ? List.of(state) : List.of(),
                works ? null : state,
                result.proposals);
    }

    /** A step with all that follows from it in the same process: what it tells itself comes at once. */
    Result step(Action action, Disk disk) {
        ModelStep out = new ModelStep(settings.address(), lost);
        Register next = RegisterImage.copy(register, settings, new FixedRandom(life));
        List<DurableState> kept = new ArrayList<>();
        DurableState perhaps = null;
        action.run(next, out);
        DurableState state = disk == Disk.LATER ? null : out.takePending();
        RegisterMessage own = out.takeOwn();
        while (state != null || own != null) {
            if (state != null && disk == Disk.KILLED_AFTER_WRITE) {
                return killed(state);
            } else if (state != null && disk == Disk.FAILS && perhaps == null) {
                perhaps = state;
                next.handleStoreFailed(0, out.ticket(), out);
            } else if (state != null) {
                kept.add(state);
                next.handleStored(0, out.ticket(), out);
            } else {
                next.handleMessage(0, own, out);
                own = null;
            }
            state = disk == Disk.LATER ? null : out.takePending();
            own = own == null ? out.takeOwn() : own;
        }
        RegisterImage.forgetClocks(next);
        return new Result(new ModelProcess(settings, lost, next, life), out, kept, perhaps, proposals(next, out));
    }

    private Result killed(DurableState written) {
        return new Result(
                restarted(written), new ModelStep(settings.address(), lost), List.of(written), null, List.of());
    }

    private static List<ModelProposal> proposals(Register next, ModelStep out) {
        List<ModelProposal> found = new ArrayList<>();
        for (ModelStep.Sent sent : out.sent) {
            if (sent.message() instanceof Accept) {
                Accept accept = (Accept) sent.message();
                RegisterValue read = (RegisterValue) RegisterImage.at(next, "proposer", "state", "round", "read");
                ModelProposal proposal = new ModelProposal(accept.ballot(), accept.value(), read.acceptors());
                if (!found.contains(proposal)) {
                    found.add(proposal);
                }
            }
        }
        return found;
    }
}
