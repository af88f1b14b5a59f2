package dewplank.simulation;

import dewplank.message.Endpoint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/** The platform's list of servers, which changes as servers come, drain and go. */
final class SimulatedPlatform {
    static final String IP = "10.200.0.4";
    private static final double MEAN_PAUSE_MS = 1_500;
    private static final int LEAST_SERVERS = 2;
    private static final int MAX_SERVERS = 6;

    private record Change(double at, Set<String> gone) {}

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final List<Endpoint> servers = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<String> gone = new TreeSet<>();
    private int named;
    private double downUntil;
    private double upSince;
    private long calls;

    SimulatedPlatform(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
        for (int index = 0; index < LEAST_SERVERS + 1; index++) {
            add();
        }
        changes.add(new Change(0, Set.of()));
    }

    private void add() {
        named++;
        servers.add(new Endpoint("i-" + named, "engines", "10.128.0." + named % 250 + ":8080", "z", 8, false, 0, null));
    }

    /** Begins to change the list now and then, until that time. */
    void changes(double until) {
        fleet.time().after(random.nextDouble() * 2 * MEAN_PAUSE_MS, () -> {
            if (fleet.time().now() < until) {
                change();
                changes(until);
            }
        });
    }

    private void change() {
        boolean adds = servers.size() <= LEAST_SERVERS || servers.size() < MAX_SERVERS && random.nextBoolean();
        if (adds) {
            add();
        } else {
            Endpoint leaving = servers.remove(random.nextInt(servers.size()));
            gone.add(leaving.instanceId);
        }
        changes.add(new Change(fleet.time().now(), Set.copyOf(gone)));
    }

    void breakDown(double ms) {
        downUntil = fleet.time().now() + ms;
        upSince = downUntil;
    }

    /** One call, which costs one of the platform's few. */
    void fetchInstances(ControlMachine from, ProcessIncarnation caller, Consumer<List<Endpoint>> then) {
        calls++;
        fleet.invariants().platformPolled(from);
        fleet.time().after(fleet.network().delay(), () -> {
            boolean answered =
                    fleet.time().now() >= downUntil && fleet.network().reaches(from.ip(), IP);
            List<Endpoint> listed = answered ? new ArrayList<>(servers) : null;
            fleet.time()
                    .after(
                            answered ? fleet.network().delay() : 1_000,
                            () -> caller.run(
                                    () -> then.accept(fleet.network().reaches(IP, from.ip()) ? listed : null)));
        });
    }

    long calls() {
        return calls;
    }

    /** Servers that the list showed as gone before that time, and has shown while it could be read since. */
    Set<String> goneBefore(double time) {
        if (fleet.time().now() < downUntil || upSince > time) {
            return new HashSet<>();
        }
        Set<String> before = Set.of();
        for (Change change : changes) {
            if (change.at <= time) {
                before = change.gone;
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
