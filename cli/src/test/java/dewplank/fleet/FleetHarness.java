package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import dewplank.emulator.fleet.ClientAttempt;
import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetAuditor;
import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetEvent;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.FleetMachine;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.History;
import dewplank.emulator.fleet.MachineLimits;
import dewplank.emulator.fleet.ModelServer;
import dewplank.emulator.fleet.PlainServer;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.emulator.fleet.ServerIdentity;
import dewplank.emulator.fleet.ServerStage;
import dewplank.emulator.fleet.ServiceSpec;
import dewplank.emulator.fleet.StandInFleet;
import dewplank.emulator.fleet.StandInOperator;
import dewplank.emulator.fleet.StandInPlatform;
import dewplank.emulator.fleet.StandInServer;
import dewplank.emulator.fleet.SteadyLoad;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * A fleet of real processes on loopback with an initial configuration, and stand-ins for servers, platform, operator
 * and clients. The test's thread calls its methods.
 */
public final class FleetHarness implements AutoCloseable {
    public static final RouteSpec READ = RouteSpec.to("plain", "read", RouteSpec.Kind.SAFE);
    public static final RouteSpec WRITE = RouteSpec.to("plain", "write", RouteSpec.Kind.UNSAFE);
    static final RouteSpec CHAT = RouteSpec.to("model", "chat", RouteSpec.Kind.STREAM);
    static final RouteSpec TALK = RouteSpec.to("model", "talk", RouteSpec.Kind.RESUMABLE);
    static final int EVENT_COUNT = 12;
    public static final FleetConfiguration INITIAL = new FleetConfiguration(
            3,
            List.of(READ, WRITE, CHAT, TALK),
            List.of(ServiceSpec.plain("plain"), ServiceSpec.plain("other"), ServiceSpec.model("model")));
    /** One request of every kind; the clients of a load send them in this order. */
    public static final List<ClientRequest> ONE_OF_EACH_KIND = List.of(
            ClientRequest.plain(READ, "mix"),
            ClientRequest.plain(WRITE, "mix"),
            ClientRequest.split(CHAT, "mix", EVENT_COUNT),
            ClientRequest.direct(TALK, "mix", EVENT_COUNT));

    /**
     * The fraction of the window of the retry budget after which data planes know how many of them share the budget:
     * 0.3, plus the time until the members are known.
     */
    private static final double BUDGET_KNOWN_FRACTION = 0.4;

    private static final int MS_PER_S = 1_000;
    private static final String DUTIES_PATH = "/duties";

    private final Path folder;
    public final StandInFleet fleet;
    final List<PlainServer> plainServers = new ArrayList<>();
    final List<ModelServer> prefillServers = new ArrayList<>();
    final List<ModelServer> decodeServers = new ArrayList<>();

    private FleetHarness(StandInFleet.Commands commands, MachineLimits limits, int control, int data)
            throws IOException {
        folder = Files.createTempDirectory("fleet");
        fleet = new StandInFleet(commands, limits, folder, control, data);
    }

    /** The steps of a test with a running fleet. */
    public interface Scenario {
        void run(FleetHarness harness) throws Exception;
    }

    /**
     * Starts the servers and processes, puts the initial configuration, waits until the data planes are ready, runs the
     * scenario and checks the history for violations of all rules. On a failure it prints the processes' logs.
     */
    public static void run(int control, int data, Scenario scenario) throws Exception {
        run(Programs.commands(), control, data, scenario);
    }

    /** Runs the scenario as {@link #run(int, int, Scenario)} does, with processes started by these commands. */
    static void run(StandInFleet.Commands commands, int control, int data, Scenario scenario) throws Exception {
        run(commands, MachineLimits.DEPLOYED, control, data, scenario);
    }

    /** Runs the scenario as {@link #run(int, int, Scenario)} does, with these commands and resources. */
    public static void run(
            StandInFleet.Commands commands, MachineLimits limits, int control, int data, Scenario scenario)
            throws Exception {
        try (FleetHarness harness = new FleetHarness(commands, limits, control, data)) {
            try {
                harness.start();
                scenario.run(harness);
                assertEquals(
                        List.of(), FleetAuditor.audit(harness.fleet.history().events()));
            } catch (Exception | AssertionError e) {
                harness.printLogs();
                throw e;
            }
        }
    }

    private void start() throws IOException, InterruptedException, TimeoutException {
        startServers();
        fleet.startFirst();
        assertEquals(200, Futures.await(fleet.operator().put(INITIAL, 0, 0)), "the first configuration");
        awaitReady();
        awaitRetryBudget();
    }

    /**
     * Waits until the data planes know how many of them share the retry budget. Before that they use none of its slack.
     */
    private void awaitRetryBudget() throws InterruptedException, TimeoutException {
        double knownAtMs = fleet.now() + BUDGET_KNOWN_FRACTION * FleetBounds.BUDGET_WINDOW_S * MS_PER_S;
        await(
                "a call to the platform once the budget is known",
                EndpointListRequested.class,
                call -> call.atMs() > knownAtMs);
    }

    private void startServers() throws IOException {
        for (int i = 0; i < 2; i++) {
            plainServers.add(fleet.plainServer("plain"));
            prefillServers.add(fleet.modelServer("model", ServerStage.PREFILL));
            decodeServers.add(fleet.modelServer("model", ServerStage.DECODE));
        }
    }

    /** Returns a request with a prompt to prefill, for a stream of {@link #EVENT_COUNT} events. */
    static ClientRequest generation(RouteSpec route, String name) {
        return ClientRequest.split(route, name, EVENT_COUNT);
    }

    /** Returns the time in milliseconds on the clock of the stand-ins' loop, which is also used for events. */
    double now() {
        return fleet.now();
    }

    public StandInOperator operator() {
        return fleet.operator();
    }

    StandInPlatform platform() {
        return fleet.platform();
    }

    public List<FleetProcess> control() {
        return fleet.control();
    }

    public FleetProcess control(int index) {
        return fleet.control(index);
    }

    void killAllControl() throws InterruptedException {
        for (FleetProcess process : control()) {
            process.kill();
        }
    }

    void restartAllControl() throws IOException {
        for (FleetProcess process : control()) {
            process.restart();
        }
    }

    /** Returns the server with this identity in the endpoint list. */
    static <S extends StandInServer> S serverOf(List<S> servers, ServerIdentity identity) {
        return servers.stream()
                .filter(server -> server.identity().equals(identity))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the first of these servers other than the excluded one. */
    static <S extends StandInServer> S serverOtherThan(List<S> servers, ServerIdentity excluded) {
        return servers.stream()
                .filter(server -> !server.identity().equals(excluded))
                .findFirst()
                .orElseThrow();
    }

    /** Sends an attempt to the data plane with this index. */
    ClientAttempt send(int edge, ClientRequest request) {
        return fleet.client().send(fleet.dataMachine(edge), request);
    }

    /** Starts clients of every data plane that repeatedly send the requests of {@link #ONE_OF_EACH_KIND} in order. */
    public SteadyLoad startLoad() {
        return fleet.load(ONE_OF_EACH_KIND);
    }

    /** Returns the events of this kind that have been recorded so far. */
    <T extends FleetEvent> List<T> events(Class<T> kind) {
        return fleet.history().events(kind);
    }

    /** See {@link History#await}. */
    <T extends FleetEvent> T await(String what, Class<T> kind, Predicate<T> wanted)
            throws InterruptedException, TimeoutException {
        return fleet.history().await(what, kind, wanted);
    }

    /** See {@link History#awaitState}. */
    public void awaitState(String what, BooleanSupplier state) throws InterruptedException, TimeoutException {
        fleet.history().awaitState(what, state);
    }

    public void awaitReady() throws InterruptedException, TimeoutException {
        for (FleetProcess process : fleet.data()) {
            awaitReadiness(process.machine(), 200);
        }
    }

    void awaitReadiness(FleetMachine machine, int status) throws InterruptedException, TimeoutException {
        awaitState("readiness " + status + " of " + machine.node(), () -> fleet.readiness(machine) == status);
    }

    /** Returns the response of a control process for a path, or an empty object if the status is not 200. */
    JsonObject view(FleetProcess process, String path) {
        return fleet.operator().view(process.machine(), path);
    }

    /** Waits until the response of a control process for a path has this key, and returns the response. */
    JsonObject awaitView(FleetProcess process, String path, String key) throws InterruptedException, TimeoutException {
        AtomicReference<JsonObject> view = new AtomicReference<>();
        awaitState(key + " from " + process.machine().node(), () -> {
            view.set(view(process, path));
            return view.get().has(key);
        });
        return view.get();
    }

    /** Whether a control process reports this version as the chosen one. */
    boolean reportsVersion(FleetProcess process, long version) {
        JsonObject status = view(process, "/status");
        return status.has("config_version") && status.get("config_version").getAsLong() == version;
    }

    /** Returns a control process other than the excluded one. */
    FleetProcess controlOtherThan(FleetProcess excluded) {
        return fleet.control().stream()
                .filter(process -> process != excluded)
                .findFirst()
                .orElseThrow();
    }

    int indexOf(FleetProcess control) {
        return fleet.control().indexOf(control);
    }

    /** Waits for a holder of the lease for polling the platform, and returns its process. */
    FleetProcess awaitLeaseHolder() throws InterruptedException, TimeoutException {
        return awaitLease().holder();
    }

    /** The lease for polling the platform: its holder and its fencing token. */
    record Lease(FleetProcess holder, long fencingToken) {}

    /** Waits until a control process reports that it holds the lease, and returns the lease. */
    Lease awaitLease() throws InterruptedException, TimeoutException {
        List<Lease> leases = new ArrayList<>();
        awaitState("a lease holder", () -> {
            fleet.control().forEach(process -> lease(process).ifPresent(leases::add));
            return !leases.isEmpty();
        });
        return leases.get(0);
    }

    private Optional<Lease> lease(FleetProcess process) {
        JsonObject duties = process.isAlive() ? view(process, DUTIES_PATH) : new JsonObject();
        JsonObject list = duties.has("list") ? duties.getAsJsonObject("list") : new JsonObject();
        return list.has("held_here") && list.get("held_here").getAsBoolean()
                ? Optional.of(new Lease(process, list.get("fencing_number").getAsLong()))
                : Optional.empty();
    }

    /** Waits until more than two further rounds of {@link #ONE_OF_EACH_KIND} have been served to the load. */
    public void awaitServed(String what, SteadyLoad load) throws InterruptedException, TimeoutException {
        int before = load.served();
        fleet.history().await(what, AttemptSent.class, attempt -> load.served() > before + 2 * ONE_OF_EACH_KIND.size());
    }

    /** Puts a complete configuration, starting with the control process of this index; the change must be committed. */
    void putConfiguration(FleetConfiguration next, long base, int first) {
        int status = Futures.await(fleet.operator().put(next, base, first));
        assertEquals(200, status, "version " + next.version());
    }

    public ClientAttempt.Outcome awaitOutcome(int edge, ClientRequest request) {
        return Futures.await(send(edge, request).ended());
    }

    public void assertServed(int edge, ClientRequest request) {
        ClientAttempt.Outcome outcome = awaitOutcome(edge, request);
        assertTrue(outcome.served(), request.route().name() + " at edge " + edge + ": " + outcome);
    }

    /** Reads the configuration, starting with the control process of this index, and checks its version. */
    void assertReadBack(long version, int first) {
        assertEquals(version, Futures.await(fleet.operator().read(first)));
    }

    private void printLogs() throws IOException {
        List<FleetProcess> all = new ArrayList<>(fleet.control());
        all.addAll(fleet.data());
        for (FleetProcess process : all) {
            String node = process.machine().node();
            System.err.println("---- " + node);
            events(ProcessFaulted.class).stream()
                    .filter(fault -> fault.node().equals(node))
                    .forEach(fault ->
                            System.err.println(Instant.ofEpochMilli((long) fault.atMs()) + " fault: " + fault.fault()));
            if (Files.exists(process.log())) {
                System.err.println(Files.readString(process.log()));
            }
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        fleet.close();
        List<Path> all;
        try (var files = Files.walk(folder)) {
            all = files.sorted((a, b) -> b.compareTo(a)).toList();
        }
        for (Path path : all) {
            Files.delete(path);
        }
    }
}
