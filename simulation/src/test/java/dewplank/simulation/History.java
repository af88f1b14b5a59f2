package dewplank.simulation;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** One simulation run: a start, faults for some seconds, then none; in the end every process must have caught up. */
final class History {
    private static final double FAULTS_FROM_MS = 1_500;
    private static final double MIN_FAULT_PERIOD_MS = 2_500;
    private static final double MAX_EXTRA_FAULT_PERIOD_MS = 3_000;
    /** Additional fault period within the tolerance: leaves time for a second fault, catch_up_s after the first. */
    private static final double EXTRA_FAULT_PERIOD_WITHIN_TOLERANCE_MS = 6_000;

    private static final double MIN_FAULT_FREE_MS = 2_500;
    private static final double MEAN_INTERVAL_MS = 250;
    /** Time limit to catch up: a restarted process connects and fetches its state, a removed acceptor is replaced. */
    private static final double MAX_CATCH_UP_MS = 12_000;

    private static final double STEP_MS = 100;

    private final SimulatedFleet fleet;
    private final Operators operators;
    private final FaultInjector faults;
    private final boolean withinTolerance;
    private final double end;

    History(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controls = random.nextInt(3) == 0 ? 5 : 3 + random.nextInt(2);
        fleet = new SimulatedFleet(controls, 3, random.split());
        operators = new Operators(fleet, random.split());
        faults = new FaultInjector(fleet, random.split());
        withinTolerance = random.nextInt(5) < 2;
        end = FAULTS_FROM_MS
                + MIN_FAULT_PERIOD_MS
                + random.nextDouble() * MAX_EXTRA_FAULT_PERIOD_MS
                + (withinTolerance ? EXTRA_FAULT_PERIOD_WITHIN_TOLERANCE_MS : 0);
    }

    /** Executes the run; returns a digest that is equal for all runs of the same seed. */
    long run() {
        fleet.start();
        fleet.platform().changePeriodically(end);
        operators.start(end, MEAN_INTERVAL_MS);
        if (withinTolerance) {
            faults.injectWithinTolerance(
                    FAULTS_FROM_MS + (fleet.core().size() > 3 ? SimulatedFleet.CATCH_UP_MS : 500), end);
        } else {
            faults.injectBeyondTolerance(FAULTS_FROM_MS, end);
        }
        checkResponseTimes();
        fleet.time().runUntil(end);
        while (!faults.hasNoActiveFaults() || fleet.time().now() < end + MIN_FAULT_FREE_MS) {
            fleet.time().runUntil(fleet.time().now() + STEP_MS);
        }
        double faultsEndedAt = fleet.time().now();
        boolean done = false;
        while (!done) {
            double now = fleet.time().now();
            fleet.time().runUntil(now + STEP_MS);
            done = isCaughtUp();
            fleet.invariants()
                    .check(
                            done || now < faultsEndedAt + MAX_CATCH_UP_MS,
                            "a process has not caught up long after the last fault: " + describeLag());
        }
        checkAllReads();
        return fleet.invariants().digest();
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    /** Checks that changes get a response in time while the core is stable and no link has a fault. */
    private void checkResponseTimes() {
        double now = fleet.time().now();
        for (OperatorChange change : operators.openChanges()) {
            double since = Math.max(change.startedAt, fleet.contact().faultFreeSince());
            fleet.invariants()
                    .check(now - since <= SimulatedFleet.ACK_MS, change + " has had no response since " + since);
        }
        fleet.time().after(STEP_MS, this::checkResponseTimes);
    }

    private boolean isCaughtUp() {
        return describeLag().isEmpty();
    }

    private String describeLag() {
        if (!operators.openChanges().isEmpty()) {
            return operators.openChanges().get(0) + " has no response";
        }
        Set<AcceptorId> live = new HashSet<>();
        long newest = fleet.invariants().versionFloor();
        for (ControlMachine control : fleet.core()) {
            if (!control.isRunning() || control.process().version() < newest) {
                return control.name() + " has "
                        + (control.isRunning() ? control.process().version() : "no process");
            }
        }
        AcceptorSet set = fleet.core().get(0).process().acceptors();
        for (ControlMachine control : fleet.core()) {
            if (!control.process().acceptors().equals(set)) {
                return control.name() + " has another acceptor set";
            }
            live.add(new AcceptorId(
                    control.ip() + ":" + Machine.INTERNAL_PORT,
                    control.process().identity()));
        }
        long alive = set.members().stream().filter(live::contains).count();
        if (set.isJoint() || 2 * (alive - 1) <= set.members().size()) { // the set must tolerate one more loss
            return "acceptors are " + set.members();
        }
        for (DataMachine data : fleet.edge()) {
            if (!data.isRunning()
                    || data.process().version() < newest
                    || !data.process().instances().equals(fleet.platform().instances())) {
                return data.name() + " has "
                        + (data.isRunning()
                                ? data.process().version()
                                        + data.process().instances().toString()
                                : "no process");
            }
        }
        return "";
    }

    /** Reads the configuration from every control plane and checks that it has all acknowledged changes. */
    private void checkAllReads() {
        operators.loseNoResponses();
        Set<ControlMachine> responded = new HashSet<>();
        List<ControlMachine> core = fleet.core();
        double until = fleet.time().now() + SimulatedFleet.CONTACT_MS;
        for (ControlMachine control : core) {
            readUntilResponse(control, responded);
        }
        while (responded.size() < core.size()) {
            fleet.invariants().check(fleet.time().now() < until, "not all control planes respond to a read");
            fleet.time().runUntil(fleet.time().now() + STEP_MS);
        }
        fleet.invariants().checkFinalConfiguration(core.get(0).process().configuration());
    }

    private void readUntilResponse(ControlMachine from, Set<ControlMachine> responded) {
        operators.read(from, version -> {
            if (version == null) {
                fleet.time().after(STEP_MS, () -> readUntilResponse(from, responded));
            } else {
                responded.add(from);
            }
        });
    }
}
