package dewplank.simulation;

import dewplank.controlplane.ControlProcess;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulated operators. Up to eight changes are open at the same time. Each is sent with the same bytes to any control
 * plane and retried until a definite response arrives, with a timeout of one second and an increasing backoff. Reads
 * are sent in between.
 */
final class Operators {
    static final String IP = "10.250.0.1";
    static final int MAX_OPEN_CHANGES = 8;
    private static final double REQUEST_TIMEOUT_MS = 1_000;
    private static final double MIN_BACKOFF_MS = 30;
    private static final double MAX_BACKOFF_MS = 400;
    private static final int MAX_REDIRECTS = 2;
    private static final Pattern MARKER = Pattern.compile("\"m-(\\d+)\"");
    private static final Pattern VERSION = Pattern.compile("\"config_version\":\\s*(\\d+)");

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final TreeMap<Long, Set<Integer>> markersByVersion = new TreeMap<>();
    private final List<OperatorChange> open = new ArrayList<>();
    private final List<ControlMachine> listedMachines = new ArrayList<>();
    private int lastId;
    private int lostResponseOneIn = 20; // one response in this many is lost
    private int reads;

    Operators(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
        markersByVersion.put(0L, Set.of());
    }

    /** Stops the random loss of responses. */
    void loseNoResponses() {
        lostResponseOneIn = 0;
    }

    /** Sends changes and reads at random intervals until the given time. */
    void start(double until, double meanIntervalMs) {
        fleet.time().after(random.nextDouble() * 2 * meanIntervalMs, () -> {
            if (fleet.time().now() < until) {
                if (random.nextInt(4) == 0) {
                    read(randomControl(), response -> {});
                } else {
                    sendChanges();
                }
                start(until, meanIntervalMs);
            }
        });
    }

    private void sendChanges() {
        int count = random.nextInt(5) == 0 ? 2 : 1; // two operators on the same base, mostly with the same new version
        long base = random.nextInt(15) == 0 ? randomVersion(markersByVersion.keySet()) : markersByVersion.lastKey();
        long version = base + 1 + random.nextInt(3);
        for (int index = 0; index < count && open.size() < MAX_OPEN_CHANGES; index++) {
            send(randomChange(base, random.nextInt(4) == 0 ? version + index : version), done -> {});
        }
    }

    private long randomVersion(Set<Long> from) {
        int skipped = random.nextInt(from.size());
        return from.stream().skip(skipped).findFirst().orElse(0L);
    }

    private OperatorChange randomChange(long base, long version) {
        double now = fleet.time().now();
        lastId++;
        if (base == 0 || random.nextInt(4) == 0) {
            return OperatorChange.fullConfiguration(lastId, base, version, markersByVersion.get(base), now);
        }
        return OperatorChange.patch(lastId, base, version, random.nextInt(12) != 0, now);
    }

    /** Creates a valid change whose base is the newest version known to the operators. */
    OperatorChange newChange() {
        long base = markersByVersion.lastKey();
        if (base == 0) {
            lastId++;
            return OperatorChange.fullConfiguration(
                    lastId,
                    base,
                    base + 1,
                    markersByVersion.get(base),
                    fleet.time().now());
        }
        return newPatch();
    }

    /** Creates a valid patch, whose size does not depend on the current configuration. */
    OperatorChange newPatch() {
        lastId++;
        return OperatorChange.patch(
                lastId,
                markersByVersion.lastKey(),
                markersByVersion.lastKey() + 1,
                true,
                fleet.time().now());
    }

    /** Creates a patch of an existing route, which does not increase the size of the configuration. */
    OperatorChange newSmallPatch() {
        return OperatorChange.patch(
                1,
                markersByVersion.lastKey(),
                markersByVersion.lastKey() + 1,
                true,
                fleet.time().now());
    }

    /** Sends a change and retries it until a definite response arrives. */
    void send(OperatorChange change, Consumer<OperatorChange> callback) {
        open.add(change);
        attempt(change, callback);
    }

    List<OperatorChange> openChanges() {
        return open;
    }

    int reads() {
        return reads;
    }

    private void attempt(OperatorChange change, Consumer<OperatorChange> callback) {
        change.attempts++;
        ControlMachine to = randomControl();
        sendRequest(to, change.patch ? "PATCH" : "PUT", change, MAX_REDIRECTS, response -> {
            if (response == null || !recordResponse(change, response.status())) {
                double backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (1 << Math.min(change.attempts, 10)));
                fleet.time().after(backoffMs * (0.5 + random.nextDouble()), () -> attempt(change, callback));
            } else {
                open.remove(change);
                change.endedAt = fleet.time().now();
                callback.accept(change);
            }
        });
    }

    /** Sends a change to one machine once; the callback receives null if no response arrives. */
    void sendRequest(ControlMachine to, OperatorChange change, Consumer<ControlProcess.Response> callback) {
        sendRequest(to, change.patch ? "PATCH" : "PUT", change, 0, callback);
    }

    /** Records a response to a change; returns whether the response is definite. */
    boolean recordResponse(OperatorChange change, int status) {
        if (status == 200) {
            change.state = OperatorChange.State.CONFIRMED;
            fleet.invariants().recordConfirmation(change);
            Set<Integer> base = markersByVersion.get(change.base);
            if (change.markers != null || base != null) {
                Set<Integer> markers = new TreeSet<>(change.markers != null ? change.markers : base);
                markers.add(change.id);
                markersByVersion.put(change.version, markers);
            }
            return true;
        }
        if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
            change.state = OperatorChange.State.REJECTED;
            fleet.invariants().recordRejection(change, status);
            return true;
        }
        return false;
    }

    /** Reads the configuration from a machine; the callback receives null without a definite response. */
    void read(ControlMachine from, Consumer<Long> callback) {
        long floor = fleet.invariants().versionFloor();
        sendRequest(from, "GET", null, MAX_REDIRECTS, response -> {
            if (response != null && response.status() == 200) {
                callback.accept(recordRead(response.body(), floor));
            } else {
                if (response != null && response.status() == 404) {
                    fleet.invariants().check(floor == 0, "no configuration at " + from.name() + " after " + floor);
                }
                callback.accept(null);
            }
        });
    }

    private long recordRead(byte[] body, long floor) {
        String text = new String(body, StandardCharsets.UTF_8);
        Matcher version = VERSION.matcher(text);
        fleet.invariants().check(version.find(), "a configuration without a version");
        Set<Integer> markers = new TreeSet<>();
        Matcher marker = MARKER.matcher(text);
        while (marker.find()) {
            markers.add(Integer.parseInt(marker.group(1)));
        }
        long read = Long.parseLong(version.group(1));
        fleet.invariants().checkRead(read, markers, floor);
        markersByVersion.put(read, markers);
        reads++;
        return read;
    }

    /** Returns a random control plane, sometimes from an outdated list that includes removed machines. */
    private ControlMachine randomControl() {
        for (ControlMachine control : fleet.core()) {
            if (!listedMachines.contains(control)) {
                listedMachines.add(control);
            }
        }
        List<ControlMachine> from = random.nextInt(10) == 0 ? listedMachines : fleet.core();
        return from.get(random.nextInt(from.size()));
    }

    private void sendRequest(
            ControlMachine to,
            String method,
            OperatorChange change,
            int redirects,
            Consumer<ControlProcess.Response> callback) {
        PendingRequest request = new PendingRequest(callback);
        fleet.time().after(REQUEST_TIMEOUT_MS, () -> request.complete(null));
        fleet.time()
                .after(fleet.network().randomDelayMs(), () -> deliverRequest(to, method, change, redirects, request));
    }

    private void deliverRequest(
            ControlMachine to, String method, OperatorChange change, int redirects, PendingRequest request) {
        if (!to.hasPower() || !fleet.network().reaches(IP, to.ip())) {
            return;
        }
        if (to.process() == null || !to.process().acceptsRequests()) {
            fleet.time().after(fleet.network().randomDelayMs(), () -> request.complete(null));
            return;
        }
        boolean handlesAbandonedRequest = random.nextBoolean();
        ProcessIncarnation incarnation = to.incarnation();
        incarnation.deliver(() -> {
            if (request.completed && !handlesAbandonedRequest) {
                return; // the server has detected that the client disconnected
            }
            to.process()
                    .handleRequest(
                            method,
                            "/configuration",
                            change == null ? null : Long.toString(change.base),
                            change == null ? new byte[0] : change.body,
                            response -> deliverResponse(to, method, change, redirects, request, response));
        });
    }

    private void deliverResponse(
            ControlMachine from,
            String method,
            OperatorChange change,
            int redirects,
            PendingRequest request,
            ControlProcess.Response response) {
        fleet.time().after(fleet.network().randomDelayMs(), () -> {
            if (request.completed
                    || !fleet.network().reaches(from.ip(), IP)
                    || lostResponseOneIn > 0 && random.nextInt(lostResponseOneIn) == 0) {
                return;
            }
            ControlMachine next = response.status() == 307 && redirects > 0 ? machineAt(response.location()) : null;
            if (next != null) {
                request.completed = true;
                sendRequest(next, method, change, redirects - 1, request.callback);
            } else {
                request.complete(response);
            }
        });
    }

    private ControlMachine machineAt(String location) {
        String host = location.replaceFirst("^http://", "").replaceFirst("[:/].*", "");
        try {
            InetAddress address = InetAddress.getByName(host);
            Machine found = fleet.network().machineAt(new InetSocketAddress(address, Machine.CONTROL_PORT));
            return found instanceof ControlMachine control ? control : null;
        } catch (UnknownHostException e) {
            throw new AssertionError("not an address: " + location, e);
        }
    }

    private static final class PendingRequest {
        private final Consumer<ControlProcess.Response> callback;
        private boolean completed;

        PendingRequest(Consumer<ControlProcess.Response> callback) {
            this.callback = callback;
        }

        void complete(ControlProcess.Response response) {
            if (!completed) {
                completed = true;
                callback.accept(response);
            }
        }
    }
}
