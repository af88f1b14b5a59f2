package dewplank.simulation;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** One history: a start, faults for some seconds, then none; in the end every process must have caught up. */
final class History {
    private static final double FAULTS_FROM_MS = 1_500;
    private static final double MIN_LENGTH_MS = 2_500;
    private static final double EXTRA_LENGTH_MS = 3_000;
    /** Time for a second loss, catch_up_s after the first. */
    private static final double EXTRA_LENGTH_WITHIN_TOLERANCE_MS = 6_000;

    private static final double MIN_FAULT_FREE_MS = 2_500;
    private static final double MEAN_PAUSE_MS = 250;
    /** After the last fault: a process that was down connects and fetches; an acceptor gone for good is replaced. */
    private static final double MAX_CATCH_UP_MS = 12_000;

    private static final double STEP_MS = 100;

    private final SimulatedFleet fleet;
    private final Operators operators;
    private final FaultInjector faults;
    private final boolean tolerated;
    private final double end;

    History(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controls = random.nextInt(3) == 0 ? 5 : 3 + random.nextInt(2);
        fleet = new SimulatedFleet(controls, 3, random.split());
        operators = new Operators(fleet, random.split());
        faults = new FaultInjector(fleet, random.split());
        tolerated = random.nextInt(5) < 2;
        end = FAULTS_FROM_MS
                + MIN_LENGTH_MS
                + random.nextDouble() * EXTRA_LENGTH_MS
                + (tolerated ? EXTRA_LENGTH_WITHIN_TOLERANCE_MS : 0);
    }

    /** Plays it; returns a number that two plays of the same seed have in common. */
    long play() {
        fleet.start();
        fleet.platform().changes(end);
        operators.begin(end, MEAN_PAUSE_MS);
        if (tolerated) {
            faults.tolerated(FAULTS_FROM_MS + (fleet.core().size() > 3 ? SimulatedFleet.CATCH_UP_MS : 500), end);
        } else {
            faults.unbounded(FAULTS_FROM_MS, end);
        }
        acknowledgesInTime();
        fleet.time().playUntil(end);
        while (!faults.isOver() || fleet.time().now() < end + MIN_FAULT_FREE_MS) {
            fleet.time().playUntil(fleet.time().now() + STEP_MS);
        }
        double over = fleet.time().now();
        boolean done = false;
        while (!done) {
            double now = fleet.time().now();
            fleet.time().playUntil(now + STEP_MS);
            done = isCaughtUp();
            fleet.invariants()
                    .check(
                            done || now < over + MAX_CATCH_UP_MS,
                            "a process lags long after the last fault: " + whatLags());
        }
        readAll();
        return fleet.invariants().digest();
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    /** While the core is stable and no link has a fault, a change is answered in time. */
    private void acknowledgesInTime() {
        double now = fleet.time().now();
        for (OperatorChange order : operators.open()) {
            double since = Math.max(order.startedAt, fleet.contact().calmSince());
            fleet.invariants().check(now - since <= SimulatedFleet.ACK_MS, order + " has no answer since " + since);
        }
        fleet.time().after(STEP_MS, this::acknowledgesInTime);
    }

    private boolean isCaughtUp() {
        return whatLags().isEmpty();
    }

    private String whatLags() {
        if (!operators.open().isEmpty()) {
            return operators.open().get(0) + " is open";
        }
        Set<AcceptorId> live = new HashSet<>();
        long newest = fleet.invariants().floor();
        for (ControlMachine control : fleet.core()) {
            if (!control.runs() || control.process().version() < newest) {
                return control.name() + " has "
                        + (control.runs() ? control.process().version() : "no process");
            }
        }
        AcceptorSet set = fleet.core().get(0).process().acceptors();
        for (ControlMachine control : fleet.core()) {
            if (!control.process().acceptors().equals(set)) {
                return control.name() + " knows other acceptors";
            }
            live.add(new AcceptorId(
                    control.ip() + ":" + Machine.INTERNAL_PORT,
                    control.process().identity()));
        }
        long alive = set.members().stream().filter(live::contains).count();
        if (set.isJoint() || 2 * (alive - 1) <= set.members().size()) { // one loss more has to be borne
            return "acceptors are " + set.members();
        }
        for (DataMachine data : fleet.edge()) {
            if (!data.runs()
                    || data.process().version() < newest
                    || !data.process().instances().equals(fleet.platform().instances())) {
                return data.name() + " has "
                        + (data.runs()
                                ? data.process().version()
                                        + data.process().instances().toString()
                                : "no process");
            }
        }
        return "";
    }

    /** What was acknowledged is read back at every control plane. */
    private void readAll() {
        operators.loseNoAnswers();
        Set<ControlMachine> answered = new HashSet<>();
        List<ControlMachine> core = fleet.core();
        double until = fleet.time().now() + SimulatedFleet.CONTACT_MS;
        for (ControlMachine control : core) {
            readUntilAnswered(control, answered);
        }
        while (answered.size() < core.size()) {
            fleet.invariants().check(fleet.time().now() < until, "not all answer a reading");
            fleet.time().playUntil(fleet.time().now() + STEP_MS);
        }
        fleet.invariants().checkEnd(core.get(0).process().configuration());
    }

    private void readUntilAnswered(ControlMachine from, Set<ControlMachine> answered) {
        operators.read(from, version -> {
            if (version == null) {
                fleet.time().after(STEP_MS, () -> readUntilAnswered(from, answered));
            } else {
                answered.add(from);
            }
        });
    }
}
