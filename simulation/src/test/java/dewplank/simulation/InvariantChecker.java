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

/** Records the responses and the process states of one simulation run and checks them against the invariants. */
final class InvariantChecker {
    private static final double CHECK_INTERVAL_MS = 50;

    private record RecordedConfiguration(Set<Integer> markers, byte[] json) {}

    private record AppliedVersions(long version, long[] listVersion) {}

    private final SimulatedFleet fleet;
    private final ContactTracker contact;
    private final TreeMap<Long, RecordedConfiguration> configurationsByVersion = new TreeMap<>();
    private final Map<Long, Integer> confirmedByBase = new HashMap<>();
    private final Set<Integer> confirmedIds = new TreeSet<>();
    private final Set<Integer> rejectedIds = new TreeSet<>();
    private final TreeMap<Double, Long> acknowledgedVersions = new TreeMap<>();
    private final Map<Long, String> holderByToken = new HashMap<>();
    private final Map<String, Long> versionByIncarnation = new HashMap<>();
    private final Map<Machine, AppliedVersions> lastAppliedByMachine = new HashMap<>();
    private final Map<ControlMachine, String> currentHolders = new HashMap<>();
    private final Map<Long, AcceptorSet> acceptorSetByGeneration = new HashMap<>();
    private long versionFloor;
    private long digest = 1;
    private long responses;

    InvariantChecker(SimulatedFleet fleet) {
        this.fleet = fleet;
        this.contact = new ContactTracker(fleet);
    }

    void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(
                    String.format("at %.1f ms: %s", fleet.time().now(), message));
        }
    }

    /** Adds a line to the digest that is used to compare two runs of the same seed. */
    void addToDigest(String line) {
        digest = digest * 31 + line.hashCode();
        digest = digest * 31 + Double.hashCode(fleet.time().now());
    }

    long digest() {
        return digest;
    }

    long responses() {
        return responses;
    }

    ContactTracker contact() {
        return contact;
    }

    /** Checks the time-based invariants at regular intervals. */
    void checkPeriodically() {
        contact.check();
        checkAppliedInTime();
        fleet.time().after(CHECK_INTERVAL_MS, this::checkPeriodically);
    }

    // ---- process states -----------------------------------------------------------------------------------

    /** Checks the state of a control plane after each of its tasks. */
    void observe(ControlMachine control, String incarnation) {
        long version = control.process().version();
        long before = versionByIncarnation.getOrDefault(incarnation, 0L);
        if (version != before) {
            check(version > before, incarnation + " went back from version " + before + " to " + version);
            versionByIncarnation.put(incarnation, version);
            recordConfiguration(control.process().configuration());
            addToDigest(incarnation + " has version " + version);
        }
        if (control.process().hasChosenValue()) {
            checkAcceptorSet(control.process().acceptors(), incarnation);
        }
        if (control.process().isListLeaseHolder()) {
            checkLease(control, incarnation);
        } else {
            currentHolders.remove(control);
        }
    }

    /** Only one acceptor set may be chosen per generation: two sets could choose different values independently. */
    private void checkAcceptorSet(AcceptorSet acceptors, String incarnation) {
        AcceptorSet other = acceptorSetByGeneration.putIfAbsent(acceptors.generation(), acceptors);
        check(
                other == null || other.equals(acceptors),
                incarnation + " has " + acceptors + " but " + other + " was chosen");
    }

    private void checkLease(ControlMachine control, String incarnation) {
        long token = control.process().fencingToken();
        String other = holderByToken.putIfAbsent(token, incarnation);
        check(
                other == null || other.equals(incarnation),
                "fencing token " + token + " was granted to " + other + " and to " + incarnation);
        currentHolders.put(control, incarnation);
        for (Map.Entry<ControlMachine, String> entry : currentHolders.entrySet()) {
            ControlMachine otherControl = entry.getKey();
            if (otherControl != control
                    && otherControl.hasProcess()
                    && otherControl.incarnation().hasEnded()) {
                continue;
            }
            boolean bothHaveLease = otherControl != control
                    && otherControl.isRunning()
                    && otherControl.process().isListLeaseHolder();
            check(!bothHaveLease, entry.getValue() + " and " + incarnation + " have the lease at the same time");
        }
    }

    /** Checks that only the lease holder of the list duty queries the platform. */
    void checkPlatformPoll(ControlMachine control) {
        check(control.process().isListLeaseHolder(), control.name() + " queries the platform without the lease");
    }

    /** Checks the state of a data plane after each of its tasks. */
    void observe(DataMachine data) {
        long version = data.process().version();
        long[] listVersion = data.process().listVersionNumbers();
        AppliedVersions before = lastAppliedByMachine.get(data);
        if (before != null && before.version == version && Arrays.equals(before.listVersion, listVersion)) {
            return;
        }
        if (before != null) {
            check(
                    version >= before.version,
                    data.name() + " went back from version " + before.version + " to " + version);
            check(Arrays.compare(listVersion, before.listVersion) >= 0, data.name() + " went back to an older list");
        }
        if (version != 0 && (before == null || before.version != version)) {
            recordConfiguration(data.process().configuration());
        }
        lastAppliedByMachine.put(data, new AppliedVersions(version, listVersion));
        addToDigest(data.name() + " has version " + version + " and list " + Arrays.toString(listVersion));
    }

    /** Discards the recorded state of a terminated data plane: its next incarnation starts without state. */
    void onProcessEnded(DataMachine data) {
        lastAppliedByMachine.remove(data);
    }

    private void recordConfiguration(Configuration configuration) {
        RecordedConfiguration earlier = configurationsByVersion.get(configuration.version());
        if (earlier != null) {
            check(
                    Arrays.equals(earlier.json, configuration.json()),
                    "two different configurations of version " + configuration.version());
            return;
        }
        Set<Integer> markers = new TreeSet<>();
        for (Route route : configuration.routes()) {
            markers.add(Integer.parseInt(route.name().substring(2)));
        }
        recordConfiguration(configuration.version(), markers, configuration.json());
    }

    private void recordConfiguration(long version, Set<Integer> markers, byte[] json) {
        configurationsByVersion.put(version, new RecordedConfiguration(markers, json));
        for (int id : rejectedIds) {
            check(!markers.contains(id), "change " + id + " was rejected but is in version " + version);
        }
        Map.Entry<Long, RecordedConfiguration> below = configurationsByVersion.lowerEntry(version);
        Map.Entry<Long, RecordedConfiguration> above = configurationsByVersion.higherEntry(version);
        check(
                below == null || markers.containsAll(below.getValue().markers),
                "changes in version " + (below == null ? 0 : below.getKey()) + " are missing in version " + version);
        check(
                above == null || above.getValue().markers.containsAll(markers),
                "changes in version " + version + " are missing in version " + (above == null ? 0 : above.getKey()));
    }

    // ---- responses to operators ------------------------------------------------------------------------------

    /** The lowest configuration version that later responses may contain. */
    long versionFloor() {
        return versionFloor;
    }

    void recordConfirmation(OperatorChange change) {
        responses++;
        addToDigest(change + " is confirmed");
        check(change.valid, change + " is invalid and was confirmed");
        check(!rejectedIds.contains(change.id), change + " was rejected and then confirmed");
        Integer other = confirmedByBase.putIfAbsent(change.base, change.id);
        check(other == null || other == change.id, change + " and change " + other + " were both confirmed");
        confirmedIds.add(change.id);
        acknowledgedVersions.merge(fleet.time().now(), change.version, Math::max);
        versionFloor = Math.max(versionFloor, change.version);
    }

    void recordRejection(OperatorChange change, int status) {
        responses++;
        addToDigest(change + " is rejected with " + status);
        check(!confirmedIds.contains(change.id), change + " was confirmed and then rejected with " + status);
        rejectedIds.add(change.id);
        for (Map.Entry<Long, RecordedConfiguration> entry : configurationsByVersion.entrySet()) {
            check(
                    !entry.getValue().markers.contains(change.id),
                    change + " was rejected with " + status + " but is in version " + entry.getKey());
        }
    }

    /** Checks the response to a read; {@code floorAtStart} is the version floor when the read was sent. */
    void checkRead(long version, Set<Integer> markers, long floorAtStart) {
        responses++;
        check(version >= floorAtStart, "read version " + version + " after version " + floorAtStart);
        RecordedConfiguration earlier = configurationsByVersion.get(version);
        check(
                earlier == null || earlier.markers.equals(markers),
                "read a different configuration of version " + version);
        if (earlier == null) {
            recordConfiguration(version, markers, null);
            configurationsByVersion.remove(version); // the JSON bytes of this version have not been recorded yet
        }
        versionFloor = Math.max(versionFloor, version);
    }

    // ---- time-based invariants -------------------------------------------------------------------------------

    /** Data planes in contact must apply acknowledged changes and the removal of servers in time. */
    private void checkAppliedInTime() {
        double now = fleet.time().now();
        Map.Entry<Double, Long> due = acknowledgedVersions.floorEntry(now - SimulatedFleet.APPLY_MS);
        Set<String> removed = fleet.platform().removedBefore(now - SimulatedFleet.DRAIN_MS);
        for (DataMachine data : fleet.edge()) {
            if (!contact.isInContact(data)) {
                continue;
            }
            long requiredVersion = due == null ? 0 : newestVersionUntil(due.getKey());
            check(
                    data.process().version() >= requiredVersion,
                    data.name() + " is in contact and has version "
                            + data.process().version() + ", " + requiredVersion + " was acknowledged too long ago");
            if (!removed.isEmpty()) {
                Set<String> listed = data.process().instances();
                Set<String> stillListed = new HashSet<>(removed);
                stillListed.retainAll(listed);
                check(stillListed.isEmpty(), data.name() + " is in contact and still lists " + stillListed);
            }
        }
    }

    private long newestVersionUntil(double time) {
        return acknowledgedVersions.headMap(time, true).values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /** Checks the final configuration, which all processes have at the end of a run. */
    void checkFinalConfiguration(Configuration last) {
        Set<Integer> markers = new TreeSet<>();
        last.routes().forEach(route -> markers.add(Integer.parseInt(route.name().substring(2))));
        for (int id : confirmedIds) {
            check(markers.contains(id), "change " + id + " was confirmed but is lost");
        }
        for (int id : rejectedIds) {
            check(!markers.contains(id), "change " + id + " was rejected but is in force");
        }
        check(
                last.version() >= versionFloor,
                "the last configuration is " + last.version() + ", " + versionFloor + " was confirmed or read");
    }
}
