package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One process with its disk. The process can be killed, paused or lose its disk; the disk can be full or stall. */
final class SimulatedProcess implements Register.Effects<String> {
    private static final double TICK_MS = 50;
    private static final double MAX_SYNC_MS = 3;

    private final String address;
    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final List<Runnable> deferredSteps = new ArrayList<>();
    private AcceptorSet initialAcceptors;
    private DurableState disk;
    private DurableState storeInFlight;
    private Register<String> register;
    private int incarnation;
    private long learnedRevision;
    private boolean isPaused;
    private boolean isDiskFull;
    private double stalledUntilMs;

    SimulatedProcess(String address, SimulatedFleet fleet, SplittableRandom random) {
        this.address = address;
        this.fleet = fleet;
        this.random = random;
        this.disk = DurableState.fresh(drawIdentity());
        this.initialAcceptors = AcceptorSet.of(List.of());
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

    Register<String> register() {
        return register;
    }

    DurableState disk() {
        return disk;
    }

    void setInitialAcceptors(AcceptorSet acceptors) {
        initialAcceptors = acceptors;
    }

    void start() {
        incarnation++;
        learnedRevision = disk.chosenValue() == null ? -1 : disk.chosenValue().revision();
        register = new Register<>(RegisterBuilder.settings(address, initialAcceptors), disk, random.split());
        tick(incarnation);
    }

    void kill() {
        register = null;
        deferredSteps.clear();
        isPaused = false;
        if (storeInFlight != null && random.nextBoolean()) {
            disk = storeInFlight;
        }
        storeInFlight = null;
    }

    /** Kills the process and empties its disk, so that it restarts as a new acceptor without initial acceptors. */
    void wipe() {
        kill();
        disk = DurableState.fresh(fleet.rules().wipedDiskKeepsIdentity() ? disk.identity() : drawIdentity());
        initialAcceptors = AcceptorSet.of(List.of());
    }

    void pause() {
        isPaused = true;
    }

    void resume() {
        isPaused = false;
        List<Runnable> steps = new ArrayList<>(deferredSteps);
        deferredSteps.clear();
        for (Runnable step : steps) {
            step.run();
        }
    }

    void setDiskFull(boolean isFull) {
        isDiskFull = isFull;
    }

    void stallDisk(double untilMs) {
        stalledUntilMs = untilMs;
    }

    /**
     * Runs a step of an incarnation. The step is deferred while the process is paused, and dropped if the incarnation
     * has ended.
     */
    void run(int inIncarnation, Runnable step) {
        if (register == null || incarnation != inIncarnation) {
            return;
        }
        if (isPaused) {
            deferredSteps.add(() -> run(inIncarnation, step));
        } else {
            step.run();
        }
    }

    int incarnation() {
        return incarnation;
    }

    @Override
    public void send(String to, RegisterMessage message) {
        fleet.network().send(address, to, () -> fleet.deliver(to, message));
    }

    @Override
    public void store(long storeId, DurableState state) {
        int inIncarnation = incarnation;
        storeInFlight = state;
        double delayMs = Math.max(0, stalledUntilMs - fleet.nowMs()) + random.nextDouble() * MAX_SYNC_MS;
        fleet.events().after(delayMs, () -> finishStore(inIncarnation, storeId, state));
    }

    private void finishStore(int inIncarnation, long storeId, DurableState state) {
        if (register == null || incarnation != inIncarnation) {
            return;
        }
        if (isDiskFull) {
            run(inIncarnation, () -> register.handleStoreFailed(fleet.nowMs(), storeId, this));
            return;
        }
        disk = state;
        storeInFlight = null;
        run(inIncarnation, () -> register.handleStored(fleet.nowMs(), storeId, this));
    }

    @Override
    public void learned(RegisterValue value) {
        fleet.history().observeChosen(value);
        fleet.history().check(value.revision() > learnedRevision, "learned an older value");
        learnedRevision = value.revision();
    }

    @Override
    public void completed(long requestId, Outcome<String> outcome) {
        fleet.completed(requestId, outcome);
    }

    private void tick(int inIncarnation) {
        if (register == null || incarnation != inIncarnation) {
            return;
        }
        run(inIncarnation, () -> {
            register.tick(fleet.nowMs(), this);
            if (register.chosenValue() == null) {
                register.queryStatus(fleet.nowMs(), fleet.anyAddress(random), this);
            }
        });
        fleet.events().after(TICK_MS, () -> tick(inIncarnation));
    }

    private String drawIdentity() {
        return Long.toHexString(random.nextLong());
    }
}
