package dewplank.simulation;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** A machine with one process on it, which is killed, frozen, without power, or runs. */
abstract class Machine {
    static final int INTERNAL_PORT = 7660;
    static final int CONTROL_PORT = 8146;

    private final World world;
    private final String name;
    private final String ip;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, SimulatedNetwork.Listening> listening = new HashMap<>();
    private Life life;
    private boolean power = true;
    private boolean removed;
    private int lives;
    private double clockStepMs;
    private double startedAt = Double.NEGATIVE_INFINITY;

    Machine(World world, String name, String ip, SplittableRandom random) {
        this.world = world;
        this.name = name;
        this.ip = ip;
        this.random = random;
    }

    /** Makes the process of a life and starts it; false where it ends at once. */
    abstract boolean begin(Life begun);

    /** The process is no more. */
    abstract void ended(boolean powerLost);

    /** Looks at what the process knows, after each of its steps. */
    abstract void observe();

    World world() {
        return world;
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

    int lives() {
        return lives;
    }

    boolean hasPower() {
        return power;
    }

    boolean isUp() {
        return life != null;
    }

    boolean runs() {
        return life != null && !life.isFrozen();
    }

    boolean isRemoved() {
        return removed;
    }

    Life life() {
        return life;
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
        return (long) (1_700_000_000_000L + world.time().now() + clockStepMs);
    }

    void start() {
        if (life != null || removed) {
            return;
        }
        power = true;
        lives++;
        Life begun = new Life(world.time(), name + "#" + lives, random.split(), this::observe);
        life = begun;
        startedAt = world.time().now();
        world.log(name + " starts");
        if (!begin(begun)) {
            world.log(name + " cannot start");
            kill();
            world.time().after(1_000, this::start);
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
        if (life != null) {
            Life ending = life;
            world.log(name + (powerLost ? " loses power" : " is killed"));
            life = null;
            ending.end();
            listening.clear();
            world.network().ended(ending, powerLost);
            ended(powerLost);
        }
    }

    /** Taken away for good. */
    void remove() {
        removed = true;
        losePower();
    }

    void freeze() {
        if (life != null) {
            world.log(name + " freezes");
            life.freeze();
        }
    }

    void thaw() {
        if (life != null && life.isFrozen()) {
            world.log(name + " thaws");
            life.thaw(random.nextBoolean());
        }
    }
}
