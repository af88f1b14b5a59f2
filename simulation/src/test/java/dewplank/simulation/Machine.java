package dewplank.simulation;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** A machine with one process, which runs, is paused or has been killed. The machine may be without power. */
abstract class Machine {
    static final int INTERNAL_PORT = 7660;
    static final int CONTROL_PORT = 8146;

    private final SimulatedFleet fleet;
    private final String name;
    private final String ip;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, SimulatedNetwork.Listener> listeners = new HashMap<>();
    private ProcessIncarnation incarnation;
    private boolean powered = true;
    private boolean removed;
    private int incarnationCount;
    private double clockStepMs;
    private double startedAt = Double.NEGATIVE_INFINITY;

    Machine(SimulatedFleet fleet, String name, String ip, SplittableRandom random) {
        this.fleet = fleet;
        this.name = name;
        this.ip = ip;
        this.random = random;
    }

    /** Creates and starts the process of a new incarnation; returns false if it fails to start. */
    abstract boolean startProcess(ProcessIncarnation newIncarnation);

    /** Called when the process has terminated. */
    abstract void onProcessEnded(boolean powerLost);

    /** Checks the state of the process after each of its tasks. */
    abstract void observe();

    SimulatedFleet fleet() {
        return fleet;
    }

    SplittableRandom random() {
        return random;
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    int incarnationCount() {
        return incarnationCount;
    }

    boolean hasPower() {
        return powered;
    }

    boolean hasProcess() {
        return incarnation != null;
    }

    boolean isRunning() {
        return incarnation != null && !incarnation.isPaused();
    }

    boolean isRemoved() {
        return removed;
    }

    ProcessIncarnation incarnation() {
        return incarnation;
    }

    double startedAt() {
        return startedAt;
    }

    SimulatedNetwork.Listener listener(InetSocketAddress at) {
        return listeners.get(at);
    }

    void setListener(InetSocketAddress at, SimulatedNetwork.Listener listener) {
        if (listener == null) {
            listeners.remove(at);
        } else {
            listeners.put(at, listener);
        }
    }

    void stepClock(double ms) {
        clockStepMs += ms;
    }

    /** The machine's wall-clock time; a fixed date plus the virtual time and the steps made by {@link #stepClock}. */
    long wallClockMs() {
        return (long) (1_700_000_000_000L + fleet.time().now() + clockStepMs);
    }

    void start() {
        if (incarnation != null || removed) {
            return;
        }
        powered = true;
        incarnationCount++;
        ProcessIncarnation newIncarnation =
                new ProcessIncarnation(fleet.time(), name + "#" + incarnationCount, random.split(), this::observe);
        incarnation = newIncarnation;
        startedAt = fleet.time().now();
        fleet.log(name + " starts");
        if (!startProcess(newIncarnation)) {
            fleet.log(name + " cannot start");
            kill();
            fleet.time().after(1_000, this::start);
        }
    }

    void kill() {
        endProcess(false);
    }

    void losePower() {
        powered = false;
        endProcess(true);
    }

    private void endProcess(boolean powerLost) {
        if (incarnation != null) {
            ProcessIncarnation ending = incarnation;
            fleet.log(name + (powerLost ? " loses power" : " is killed"));
            incarnation = null;
            ending.end();
            listeners.clear();
            fleet.network().closeLinks(ending, powerLost);
            onProcessEnded(powerLost);
        }
    }

    /** Removes the machine permanently. */
    void remove() {
        removed = true;
        losePower();
    }

    void pause() {
        if (incarnation != null) {
            fleet.log(name + " is paused");
            incarnation.pause();
        }
    }

    void resume() {
        if (incarnation != null && incarnation.isPaused()) {
            fleet.log(name + " resumes");
            incarnation.resume(random.nextBoolean());
        }
    }
}
