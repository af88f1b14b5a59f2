package dewplank.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** A fleet without random faults, in which a test causes a scripted sequence of events. */
final class Schedule {
    private static final double START_PERIOD_MS = 2_500;
    private static final double STEP_MS = 20;

    final SimulatedFleet fleet;
    final Operators operators;
    final FaultInjector faults;

    /** Starts the given number of control planes and three data planes and applies a first configuration. */
    Schedule(long seed, int controls) {
        this(seed, controls, 0);
    }

    /** Also starts control planes without a disk, which come first in the list of seeds. */
    Schedule(long seed, int controls, int relays) {
        SplittableRandom random = new SplittableRandom(seed);
        fleet = new SimulatedFleet(controls, relays, 3, random.split());
        operators = new Operators(fleet, random.split());
        faults = new FaultInjector(fleet, random.split());
        operators.loseNoResponses();
        fleet.start();
        run(START_PERIOD_MS);
        makeChange();
    }

    void run(double ms) {
        fleet.time().runUntil(fleet.time().now() + ms);
    }

    /** Runs the fleet until the condition holds; fails if it does not hold within the given time. */
    void runUntil(double withinMs, String description, BooleanSupplier condition) {
        double endMs = fleet.time().now() + withinMs;
        while (!condition.getAsBoolean()) {
            fleet.invariants().check(fleet.time().now() < endMs, "not within " + withinMs + " ms: " + description);
            run(STEP_MS);
        }
    }

    /** Sends one change and waits until it is confirmed in time. */
    OperatorChange makeChange() {
        return sendAndAwaitConfirmation(operators.newChange());
    }

    private OperatorChange sendAndAwaitConfirmation(OperatorChange change) {
        operators.send(change, done -> {});
        runUntil(SimulatedFleet.ACK_MS, change + " has a response", () -> change.state != OperatorChange.State.OPEN);
        fleet.invariants().check(change.state == OperatorChange.State.CONFIRMED, change + " is not confirmed");
        return change;
    }

    /** Makes the given number of changes one after the other. */
    List<OperatorChange> makeChanges(int count) {
        List<OperatorChange> made = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            made.add(makeChange());
        }
        return made;
    }

    /** Makes the given number of changes, which do not increase the size of the configuration. */
    void makeSmallChanges(int count) {
        for (int index = 0; index < count; index++) {
            sendAndAwaitConfirmation(operators.newSmallPatch());
        }
    }

    ControlMachine core(int index) {
        return fleet.core().get(index);
    }

    /** Returns the status of one attempt at one machine; 0 if no response arrived within the timeout of 1 s. */
    int sendOnce(ControlMachine machine, OperatorChange change) {
        int[] status = {-1};
        operators.sendRequest(machine, change, response -> status[0] = response == null ? 0 : response.status());
        runUntil(SimulatedFleet.ACK_MS, "the attempt is complete", () -> status[0] >= 0);
        return status[0];
    }

    /** Waits until all running processes have the last confirmed change. */
    void awaitAllCaughtUp(double withinMs) {
        long newest = fleet.invariants().versionFloor();
        runUntil(
                withinMs,
                "all running processes have version " + newest,
                () -> fleet.core().stream()
                                .allMatch(control -> !control.isRunning()
                                        || control.process().version() >= newest)
                        && fleet.edge().stream()
                                .allMatch(data ->
                                        !data.isRunning() || data.process().version() >= newest));
    }

    /** Partitions each machine of a group from each of the others in both directions, or heals that partition. */
    void setAllPartitioned(List<? extends Machine> group, List<? extends Machine> others, boolean partitioned) {
        group.forEach(machine -> setPartitioned(machine, others, partitioned));
    }

    /** Partitions a machine from others in both directions, or heals that partition. */
    void setPartitioned(Machine machine, List<? extends Machine> others, boolean partitioned) {
        fleet.contact().recordFault(machine);
        for (Machine other : others) {
            if (other != machine && partitioned) {
                fleet.network().partition(machine.ip(), other.ip());
                fleet.network().partition(other.ip(), machine.ip());
            } else if (other != machine) {
                fleet.network().heal(machine.ip(), other.ip());
                fleet.network().heal(other.ip(), machine.ip());
            }
        }
    }
}
