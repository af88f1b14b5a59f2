package dewplank.simulation;

import dewplank.message.Endpoint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/** The platform's list of servers, to which servers are added and from which they are removed. */
final class SimulatedPlatform {
    static final String IP = "10.200.0.4";
    private static final double MEAN_INTERVAL_MS = 1_500;
    private static final int MIN_SERVERS = 2;
    private static final int MAX_SERVERS = 6;

    private record Change(double at, Set<String> removed) {}

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final List<Endpoint> servers = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<String> removed = new TreeSet<>();
    private int lastServerNumber;
    private double downUntil;
    private double availableSince;
    private long requests;

    SimulatedPlatform(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
        for (int index = 0; index < MIN_SERVERS + 1; index++) {
            addServer();
        }
        changes.add(new Change(0, Set.of()));
    }

    private void addServer() {
        lastServerNumber++;
        servers.add(new Endpoint(
                "i-" + lastServerNumber,
                "engines",
                "10.128.0." + lastServerNumber % 250 + ":8080",
                "z",
                8,
                false,
                0,
                null));
    }

    /** Changes the list at random intervals until the given time. */
    void changePeriodically(double until) {
        fleet.time().after(random.nextDouble() * 2 * MEAN_INTERVAL_MS, () -> {
            if (fleet.time().now() < until) {
                changeList();
                changePeriodically(until);
            }
        });
    }

    private void changeList() {
        boolean adds = servers.size() <= MIN_SERVERS || servers.size() < MAX_SERVERS && random.nextBoolean();
        if (adds) {
            addServer();
        } else {
            Endpoint leaving = servers.remove(random.nextInt(servers.size()));
            removed.add(leaving.instanceId);
        }
        changes.add(new Change(fleet.time().now(), Set.copyOf(removed)));
    }

    void failFor(double ms) {
        downUntil = fleet.time().now() + ms;
        availableSince = downUntil;
    }

    /** Handles one request, which counts against the limited request rate of the platform. */
    void fetchInstances(ControlMachine from, ProcessIncarnation caller, Consumer<List<Endpoint>> callback) {
        requests++;
        fleet.invariants().checkPlatformPoll(from);
        fleet.time().after(fleet.network().randomDelayMs(), () -> {
            boolean available =
                    fleet.time().now() >= downUntil && fleet.network().reaches(from.ip(), IP);
            List<Endpoint> listed = available ? new ArrayList<>(servers) : null;
            fleet.time()
                    .after(
                            available ? fleet.network().randomDelayMs() : 1_000,
                            () -> caller.deliver(
                                    () -> callback.accept(fleet.network().reaches(IP, from.ip()) ? listed : null)));
        });
    }

    long requests() {
        return requests;
    }

    /** The servers that were removed from the list by the given time; none during or after a later outage. */
    Set<String> removedBefore(double time) {
        if (fleet.time().now() < downUntil || availableSince > time) {
            return new HashSet<>();
        }
        Set<String> before = Set.of();
        for (Change change : changes) {
            if (change.at <= time) {
                before = change.removed;
            }
        }
        return before;
    }

    Set<String> instances() {
        Set<String> ids = new TreeSet<>();
        servers.forEach(server -> ids.add(server.instanceId));
        return ids;
    }
}
