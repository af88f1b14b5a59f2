package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One process with its disk: it can be killed, lose its disk, freeze; the disk can be full or stall. */
final class SimulatedProcess implements Register.Effects {
    private static final double TICK = 50;
    private static final double SYNC = 3;

    private final String address;
    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final List<Runnable> heldBack = new ArrayList<>();
    private AcceptorSet initial;
    private DurableState disk;
    private DurableState writing;
    private Register register;
    private int life;
    private long learnedRevision;
    private boolean frozen;
    private boolean full;
    private double stalledUntil;

    SimulatedProcess(String address, SimulatedFleet fleet, SplittableRandom random) {
        this.address = address;
        this.fleet = fleet;
        this.random = random;
        this.disk = DurableState.fresh(drawIdentity());
        this.initial = AcceptorSet.of(List.of());
    }

    String address() {
        return address;
    }

    AcceptorId acceptor() {
        return new AcceptorId(address, disk.identity());
    }

    boolean isUp() {
        return register != null;
    }

    Register register() {
        return register;
    }

    DurableState disk() {
        return disk;
    }

    void beginWith(AcceptorSet acceptors) {
        initial = acceptors;
    }

    void start() {
        life++;
        learnedRevision = disk.chosenValue() == null ? -1 : disk.chosenValue().revision();
        Register.Settings settings = new Register.Settings(address, initial, 300, 20, 400, 500);
        register = new Register(settings, disk, random.split());
        tick(life);
    }

    void kill() {
        register = null;
        heldBack.clear();
        frozen = false;
        if (writing != null && random.nextBoolean()) {
            disk = writing;
        }
        writing = null;
    }

    /** Kills it and empties its disk: it comes back as a new acceptor that knows no acceptors. */
    void wipe() {
        kill();
        disk = DurableState.fresh(fleet.rules().wipedKeepsIdentity() ? disk.identity() : drawIdentity());
        initial = AcceptorSet.of(List.of());
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        List<Runnable> held = new ArrayList<>(heldBack);
        heldBack.clear();
        for (Runnable step : held) {
            step.run();
        }
    }

    void fillDisk(boolean isFull) {
        full = isFull;
    }

    void stallDisk(double until) {
        stalledUntil = until;
    }

    /** Runs a step of this life, later if it is frozen, never if that life is over. */
    void run(int inLife, Runnable step) {
        if (register == null || life != inLife) {
            return;
        }
        if (frozen) {
            heldBack.add(() -> run(inLife, step));
        } else {
            step.run();
        }
    }

    int life() {
        return life;
    }

    @Override
    public void send(String to, RegisterMessage message) {
        fleet.network().carry(address, to, () -> fleet.deliver(to, message));
    }

    @Override
    public void store(long ticket, DurableState state) {
        int inLife = life;
        writing = state;
        double wait = Math.max(0, stalledUntil - fleet.now()) + random.nextDouble() * SYNC;
        fleet.events().after(wait, () -> endStore(inLife, ticket, state));
    }

    private void endStore(int inLife, long ticket, DurableState state) {
        if (register == null || life != inLife) {
            return;
        }
        if (full) {
            run(inLife, () -> register.handleStoreFailed(fleet.now(), ticket, this));
            return;
        }
        disk = state;
        writing = null;
        run(inLife, () -> register.handleStored(fleet.now(), ticket, this));
    }

    @Override
    public void learned(RegisterValue value) {
        fleet.history().saw(value);
        fleet.history().check(value.revision() > learnedRevision, "learned an older value");
        learnedRevision = value.revision();
    }

    @Override
    public void completed(long request, Outcome outcome) {
        fleet.completed(request, outcome);
    }

    private void tick(int inLife) {
        if (register == null || life != inLife) {
            return;
        }
        run(inLife, () -> {
            register.tick(fleet.now(), this);
            if (register.chosenValue() == null) {
                register.queryStatus(fleet.now(), fleet.anyAddress(random), this);
            }
        });
        fleet.events().after(TICK, () -> tick(inLife));
    }

    private String drawIdentity() {
        return Long.toHexString(random.nextLong());
    }
}
