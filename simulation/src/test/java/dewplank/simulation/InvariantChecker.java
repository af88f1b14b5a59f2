package dewplank.simulation;

import dewplank.configuration.Configuration;
import dewplank.configuration.Route;
import dewplank.register.AcceptorSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What was seen of one history from outside and of what its processes know, and whether the rules allow it. */
final class InvariantChecker {
    private static final double CHECK_INTERVAL_MS = 50;

    private record Seen(Set<Integer> markers, byte[] json) {}

    private record Lists(long version, long[] order) {}

    private final SimulatedFleet fleet;
    private final ContactTracker contact;
    private final TreeMap<Long, Seen> versions = new TreeMap<>();
    private final Map<Long, Integer> confirmedOn = new HashMap<>();
    private final Set<Integer> confirmed = new TreeSet<>();
    private final Set<Integer> rejected = new TreeSet<>();
    private final TreeMap<Double, Long> acknowledged = new TreeMap<>();
    private final Map<Long, String> holders = new HashMap<>();
    private final Map<String, Long> learned = new HashMap<>();
    private final Map<Machine, Lists> lastListsOf = new HashMap<>();
    private final Map<ControlMachine, String> leaseHolders = new HashMap<>();
    private final Map<Long, AcceptorSet> setByGeneration = new HashMap<>();
    private long floor;
    private long digest = 1;
    private long answers;

    InvariantChecker(SimulatedFleet fleet) {
        this.fleet = fleet;
        this.contact = new ContactTracker(fleet);
    }

    void check(boolean holds, String rule) {
        if (!holds) {
            throw new AssertionError(
                    String.format("at %.1f ms: %s", fleet.time().now(), rule));
        }
    }

    /** Goes into the digest by which two plays of one seed are compared. */
    void mark(String line) {
        digest = digest * 31 + line.hashCode();
        digest = digest * 31 + Double.hashCode(fleet.time().now());
    }

    long digest() {
        return digest;
    }

    long answers() {
        return answers;
    }

    ContactTracker contact() {
        return contact;
    }

    /** Looks now and then at what holds at all times. */
    void watch() {
        contact.check();
        inForce();
        fleet.time().after(CHECK_INTERVAL_MS, this::watch);
    }

    // ---- what processes know ------------------------------------------------------------------------------

    /** A control plane has done a step. */
    void observe(ControlMachine control, String incarnation) {
        long version = control.process().version();
        long before = learned.getOrDefault(incarnation, 0L);
        if (version != before) {
            check(version > before, incarnation + " went back from " + before + " to " + version);
            learned.put(incarnation, version);
            observed(control.process().configuration());
            mark(incarnation + " learns " + version);
        }
        if (control.process().hasChosenValue()) {
            chosen(control.process().acceptors(), incarnation);
        }
        if (control.process().holdsList()) {
            holds(control, incarnation);
        } else {
            leaseHolders.remove(control);
        }
    }

    /** Of each generation one acceptor set is chosen: two would decide apart from each other. */
    private void chosen(AcceptorSet acceptors, String incarnation) {
        AcceptorSet other = setByGeneration.putIfAbsent(acceptors.generation(), acceptors);
        check(
                other == null || other.equals(acceptors),
                incarnation + " has " + acceptors + " where " + other + " was chosen");
    }

    private void holds(ControlMachine control, String incarnation) {
        long number = control.process().fencingToken();
        String other = holders.putIfAbsent(number, incarnation);
        check(
                other == null || other.equals(incarnation),
                "number " + number + " was won by " + other + " and by " + incarnation);
        leaseHolders.put(control, incarnation);
        for (Map.Entry<ControlMachine, String> entry : leaseHolders.entrySet()) {
            ControlMachine otherControl = entry.getKey();
            if (otherControl != control
                    && otherControl.isUp()
                    && otherControl.incarnation().isOver()) {
                continue;
            }
            boolean both = otherControl != control
                    && otherControl.runs()
                    && otherControl.process().holdsList();
            check(!both, entry.getValue() + " and " + incarnation + " hold the duty at once");
        }
    }

    /** The platform is asked for the list: only by the holder of the duty. */
    void platformPolled(ControlMachine control) {
        check(control.process().holdsList(), control.name() + " asks the platform and does not hold the duty");
    }

    /** A data plane has done a step. */
    void observe(DataMachine data) {
        long version = data.process().version();
        long[] order = data.process().listOrder();
        Lists before = lastListsOf.get(data);
        if (before != null && before.version == version && Arrays.equals(before.order, order)) {
            return;
        }
        if (before != null) {
            check(version >= before.version, data.name() + " went back from " + before.version + " to " + version);
            check(Arrays.compare(order, before.order) >= 0, data.name() + " went back to an older list");
        }
        if (version != 0 && (before == null || before.version != version)) {
            observed(data.process().configuration());
        }
        lastListsOf.put(data, new Lists(version, order));
        mark(data.name() + " holds " + version + " and " + Arrays.toString(order));
    }

    /** A data plane's life is over: the next one begins with nothing. */
    void ended(DataMachine data) {
        lastListsOf.remove(data);
    }

    private void observed(Configuration configuration) {
        Seen earlier = versions.get(configuration.version());
        if (earlier != null) {
            check(
                    Arrays.equals(earlier.json, configuration.json()),
                    "two configurations under " + configuration.version());
            return;
        }
        Set<Integer> markers = new TreeSet<>();
        for (Route route : configuration.routes()) {
            markers.add(Integer.parseInt(route.name().substring(2)));
        }
        observed(configuration.version(), markers, configuration.json());
    }

    private void observed(long version, Set<Integer> markers, byte[] json) {
        versions.put(version, new Seen(markers, json));
        for (int id : rejected) {
            check(!markers.contains(id), "change " + id + " was refused and is in force in " + version);
        }
        Map.Entry<Long, Seen> below = versions.lowerEntry(version);
        Map.Entry<Long, Seen> above = versions.higherEntry(version);
        check(
                below == null || markers.containsAll(below.getValue().markers),
                "changes of " + (below == null ? 0 : below.getKey()) + " are missing in " + version);
        check(
                above == null || above.getValue().markers.containsAll(markers),
                "changes of " + version + " are missing in " + (above == null ? 0 : above.getKey()));
    }

    // ---- what operators are answered -------------------------------------------------------------------------

    /** The version that whatever is answered from now on must not be below. */
    long floor() {
        return floor;
    }

    void confirmed(OperatorChange order) {
        answers++;
        mark(order + " is confirmed");
        check(order.valid, order + " is invalid and was confirmed");
        check(!rejected.contains(order.id), order + " was refused and then confirmed");
        Integer other = confirmedOn.putIfAbsent(order.base, order.id);
        check(other == null || other == order.id, order + " and change " + other + " were both confirmed");
        confirmed.add(order.id);
        acknowledged.merge(fleet.time().now(), order.version, Math::max);
        floor = Math.max(floor, order.version);
    }

    void rejected(OperatorChange order, int status) {
        answers++;
        mark(order + " is refused by " + status);
        check(!confirmed.contains(order.id), order + " was confirmed and then refused by " + status);
        rejected.add(order.id);
        for (Map.Entry<Long, Seen> entry : versions.entrySet()) {
            check(
                    !entry.getValue().markers.contains(order.id),
                    order + " was refused by " + status + " and is in force in " + entry.getKey());
        }
    }

    /** A reading was answered that began when the floor was that. */
    void read(long version, Set<Integer> markers, long floorAtStart) {
        answers++;
        check(version >= floorAtStart, "read " + version + " after " + floorAtStart);
        Seen earlier = versions.get(version);
        check(earlier == null || earlier.markers.equals(markers), "read another configuration under " + version);
        if (earlier == null) {
            observed(version, markers, null);
            versions.remove(version); // its bytes have yet to be seen
        }
        floor = Math.max(floor, version);
    }

    // ---- what holds at all times -----------------------------------------------------------------------------

    /** What was acknowledged is in force in time at those in touch; so is a server's leaving. */
    private void inForce() {
        double now = fleet.time().now();
        Map.Entry<Double, Long> due = acknowledged.floorEntry(now - SimulatedFleet.APPLY_MS);
        Set<String> gone = fleet.platform().goneBefore(now - SimulatedFleet.DRAIN_MS);
        for (DataMachine data : fleet.edge()) {
            if (!contact.isInTouch(data)) {
                continue;
            }
            long needed = due == null ? 0 : newestUntil(due.getKey());
            check(
                    data.process().version() >= needed,
                    data.name() + " is in touch and holds " + data.process().version() + ", " + needed
                            + " was acknowledged long ago");
            if (!gone.isEmpty()) {
                Set<String> listed = data.process().instances();
                Set<String> stillListed = new HashSet<>(gone);
                stillListed.retainAll(listed);
                check(stillListed.isEmpty(), data.name() + " is in touch and still has " + stillListed);
            }
        }
    }

    private long newestUntil(double time) {
        return acknowledged.headMap(time, true).values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /** When all is over and one configuration is everywhere. */
    void checkEnd(Configuration last) {
        Set<Integer> markers = new TreeSet<>();
        last.routes().forEach(route -> markers.add(Integer.parseInt(route.name().substring(2))));
        for (int id : confirmed) {
            check(markers.contains(id), "change " + id + " was confirmed and is lost");
        }
        for (int id : rejected) {
            check(!markers.contains(id), "change " + id + " was refused and is in force");
        }
        check(last.version() >= floor, "the last configuration is " + last.version() + ", " + floor + " was seen");
    }
}
