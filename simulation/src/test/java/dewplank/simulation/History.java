package dewplank.simulation;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** One history: a start, troubles for some seconds, then all is well, and the whole is checked. */
final class History {
    private static final double TROUBLE_FROM_MS = 1_500;
    private static final double SHORTEST_MS = 2_500;
    private static final double MORE_MS = 3_000;
    /** Time for a second loss, catch_up_s after the first. */
    private static final double TOLERATED_MORE_MS = 6_000;

    private static final double LAST_TROUBLE_MS = 2_500;
    private static final double USUAL_PAUSE_MS = 250;
    /** After the last trouble: who was gone dials, hears, fetches; an acceptor gone for good is replaced. */
    private static final double CAUGHT_UP_MS = 12_000;

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
        end = TROUBLE_FROM_MS + SHORTEST_MS + random.nextDouble() * MORE_MS + (tolerated ? TOLERATED_MORE_MS : 0);
    }

    /** Plays it; returns a number that two plays of the same seed have in common. */
    long play() {
        fleet.start();
        fleet.platform().changes(end);
        operators.begin(end, USUAL_PAUSE_MS);
        if (tolerated) {
            faults.tolerated(TROUBLE_FROM_MS + (fleet.core().size() > 3 ? SimulatedFleet.CATCH_UP_MS : 500), end);
        } else {
            faults.unbounded(TROUBLE_FROM_MS, end);
        }
        acknowledgesInTime();
        fleet.time().playUntil(end);
        while (!faults.isOver() || fleet.time().now() < end + LAST_TROUBLE_MS) {
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
                            done || now < over + CAUGHT_UP_MS,
                            "not all is well long after the last trouble: " + whatLags());
        }
        readAll();
        return fleet.invariants().digest();
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    /** While the core is stable and no link in trouble, a change has its answer in time. */
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
        for (ControlMachine c : fleet.core()) {
            if (!c.runs() || c.process().version() < newest) {
                return c.name() + " has " + (c.runs() ? c.process().version() : "no process");
            }
        }
        AcceptorSet set = fleet.core().get(0).process().acceptors();
        for (ControlMachine c : fleet.core()) {
            if (!c.process().acceptors().equals(set)) {
                return c.name() + " knows other acceptors";
            }
            live.add(new AcceptorId(
                    c.ip() + ":" + Machine.INTERNAL_PORT, c.process().identity()));
        }
        long alive = set.members().stream().filter(live::contains).count();
        if (set.isJoint() || 2 * (alive - 1) <= set.members().size()) { // one loss more has to be borne
            return "acceptors are " + set.members();
        }
        for (DataMachine d : fleet.edge()) {
            if (!d.runs()
                    || d.process().version() < newest
                    || !d.process().instances().equals(fleet.platform().instances())) {
                return d.name() + " has "
                        + (d.runs()
                                ? d.process().version()
                                        + d.process().instances().toString()
                                : "no process");
            }
        }
        return "";
    }

    /** What was acknowledged is read back at every control sidecar. */
    private void readAll() {
        operators.losesNone();
        Set<ControlMachine> answered = new HashSet<>();
        List<ControlMachine> core = fleet.core();
        double until = fleet.time().now() + SimulatedFleet.CONTACT_MS;
        for (ControlMachine c : core) {
            readUntilAnswered(c, answered);
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
