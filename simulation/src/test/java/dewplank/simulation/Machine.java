package dewplank.simulation;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** A machine with one process on it, which is killed, frozen, without power, or runs. */
abstract class Machine {
    static final int INTERNAL_PORT = 7660;
    static final int CONTROL_PORT = 8146;

    private final SimulatedFleet fleet;
    private final String name;
    private final String ip;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, SimulatedNetwork.Listening> listening = new HashMap<>();
    private ProcessIncarnation incarnation;
    private boolean power = true;
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

    /** Makes the process of a life and starts it; false where it ends at once. */
    abstract boolean begin(ProcessIncarnation begun);

    /** The process is no more. */
    abstract void ended(boolean powerLost);

    /** Looks at what the process knows, after each of its steps. */
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
        return power;
    }

    boolean isUp() {
        return incarnation != null;
    }

    boolean runs() {
        return incarnation != null && !incarnation.isFrozen();
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

    SimulatedNetwork.Listening listening(InetSocketAddress at) {
        return listening.get(at);
    }

    void listens(InetSocketAddress at, SimulatedNetwork.Listening where) {
        if (where == null) {
            listening.remove(at);
        } else {
            listening.put(at, where);
        }
    }

    void stepClock(double ms) {
        clockStepMs += ms;
    }

    /** The time of day here, near the true one unless it was made to jump. */
    long wallClockMs() {
        return (long) (1_700_000_000_000L + fleet.time().now() + clockStepMs);
    }

    void start() {
        if (incarnation != null || removed) {
            return;
        }
        power = true;
        incarnationCount++;
        ProcessIncarnation begun =
                new ProcessIncarnation(fleet.time(), name + "#" + incarnationCount, random.split(), this::observe);
        incarnation = begun;
        startedAt = fleet.time().now();
        fleet.log(name + " starts");
        if (!begin(begun)) {
            fleet.log(name + " cannot start");
            kill();
            fleet.time().after(1_000, this::start);
        }
    }

    void kill() {
        end(false);
    }

    void losePower() {
        power = false;
        end(true);
    }

    private void end(boolean powerLost) {
        if (incarnation != null) {
            ProcessIncarnation ending = incarnation;
            fleet.log(name + (powerLost ? " loses power" : " is killed"));
            incarnation = null;
            ending.end();
            listening.clear();
            fleet.network().ended(ending, powerLost);
            ended(powerLost);
        }
    }

    /** Taken away for good. */
    void remove() {
        removed = true;
        losePower();
    }

    void freeze() {
        if (incarnation != null) {
            fleet.log(name + " freezes");
            incarnation.freeze();
        }
    }

    void thaw() {
        if (incarnation != null && incarnation.isFrozen()) {
            fleet.log(name + " thaws");
            incarnation.thaw(random.nextBoolean());
        }
    }
}
