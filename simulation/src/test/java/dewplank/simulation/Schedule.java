package dewplank.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** A named course of events: a calm fleet in which a test brings about one thing after the other. */
final class Schedule {
    private static final double STARTED_MS = 2_500;
    private static final double STEP_MS = 20;

    final SimulatedFleet fleet;
    final Operators operators;
    final FaultInjector faults;

    /** As many control planes and three data planes, started, with a first configuration in force. */
    Schedule(long seed, int controls) {
        this(seed, controls, 0);
    }

    /** The same with control processes without a disk, which the first seeds name. */
    Schedule(long seed, int controls, int relays) {
        SplittableRandom random = new SplittableRandom(seed);
        fleet = new SimulatedFleet(controls, relays, 3, random.split());
        operators = new Operators(fleet, random.split());
        faults = new FaultInjector(fleet, random.split());
        operators.loseNoAnswers();
        fleet.start();
        play(STARTED_MS);
        change();
    }

    void play(double ms) {
        fleet.time().playUntil(fleet.time().now() + ms);
    }

    /** Plays until it is so; fails after that long. */
    void until(double within, String what, BooleanSupplier condition) {
        double end = fleet.time().now() + within;
        while (!condition.getAsBoolean()) {
            fleet.invariants().check(fleet.time().now() < end, "not within " + within + " ms: " + what);
            play(STEP_MS);
        }
    }

    /** One change that is confirmed in time. */
    OperatorChange change() {
        return confirmed(operators.next());
    }

    private OperatorChange confirmed(OperatorChange order) {
        operators.send(order, then -> {});
        until(SimulatedFleet.ACK_MS, order + " is answered", () -> order.state != OperatorChange.State.OPEN);
        fleet.invariants().check(order.state == OperatorChange.State.CONFIRMED, order + " is confirmed");
        return order;
    }

    /** So many changes, one after the other. */
    List<OperatorChange> changes(int count) {
        List<OperatorChange> made = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            made.add(change());
        }
        return made;
    }

    /** So many changes that leave the configuration as small as it is. */
    void smallChanges(int count) {
        for (int index = 0; index < count; index++) {
            confirmed(operators.nextSmall());
        }
    }

    ControlMachine core(int index) {
        return fleet.core().get(index);
    }

    /** The status of one try at one machine; 0 where nothing came within the caller's second. */
    int attemptAt(ControlMachine at, OperatorChange order) {
        int[] status = {-1};
        operators.call(at, order, answer -> status[0] = answer == null ? 0 : answer.status());
        until(SimulatedFleet.ACK_MS, "a try ends", () -> status[0] >= 0);
        return status[0];
    }

    /** Everyone that runs has what was confirmed last. */
    void awaitAllCaughtUp(double within) {
        long newest = fleet.invariants().floor();
        until(
                within,
                "all have " + newest,
                () -> fleet.core().stream()
                                .allMatch(control ->
                                        !control.runs() || control.process().version() >= newest)
                        && fleet.edge().stream()
                                .allMatch(data -> !data.runs() || data.process().version() >= newest));
    }

    /** Cuts each of some machines off from each of the others, both ways, or joins them again. */
    void cutAll(List<? extends Machine> some, List<? extends Machine> others, boolean begins) {
        some.forEach(machine -> cut(machine, others, begins));
    }

    /** Cuts a machine off from these, both ways, or joins it again. */
    void cut(Machine machine, List<? extends Machine> others, boolean begins) {
        fleet.contact().disturbed(machine);
        for (Machine other : others) {
            if (other != machine && begins) {
                fleet.network().cut(machine.ip(), other.ip());
                fleet.network().cut(other.ip(), machine.ip());
            } else if (other != machine) {
                fleet.network().heal(machine.ip(), other.ip());
                fleet.network().heal(other.ip(), machine.ip());
            }
        }
    }
}
