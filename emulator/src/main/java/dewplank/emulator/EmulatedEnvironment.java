package dewplank.emulator;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.MachineType;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The environment of the sidecars in one run: servers, directory, network, and the effects of requests. All methods
 * must be called on the thread of the {@link Scheduler}.
 */
public final class EmulatedEnvironment {
    /** Largest relative deviation of a request's work from server to server. */
    private static final double MAX_WORK_DEVIATION = 0.15;
    /** Lower bound of a server's speed, as a fraction of its machine type's speed. */
    private static final double MIN_SPEED_FACTOR = 0.3;
    /** Fractional part of the golden ratio; its multiples modulo 1 are spread evenly over [0, 1). */
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

    private static final double RESTART_AFTER_POISON_MS = 1_000;
    private static final long POISON_SALT = 0x5bd1e995;
    /** Lower bound of work used as a divisor, to avoid a division by zero. */
    private static final double MIN_WORK = 1e-9;

    private final Scenario scenario;
    private final RandomStreams randomStreams;
    private final Scheduler time;
    private final RecordedEvent.Recorder recorder;
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Server> serversById = new HashMap<>();
    private final EndpointDirectory directory;
    private final UniformRandomProvider directoryRandom;
    private final Network network;
    private final KeyedRequests keyedRequests;
    private final TenantTraffic tenantTraffic;
    private double loadFactor = 1;
    private double poisonFraction;
    private int poisonClass = RecordedEvent.NONE;

    /** {@code recorder} receives each event when it occurs, on the scheduler thread. */
    public EmulatedEnvironment(Scenario scenario, long seed, Scheduler time, RecordedEvent.Recorder recorder) {
        this.scenario = scenario;
        this.randomStreams = new RandomStreams(seed);
        this.time = time;
        this.recorder = recorder;
        this.directoryRandom = randomStreams.stream("directory", 0);
        this.network = new Network(scenario, randomStreams);
        this.keyedRequests = new KeyedRequests(scenario, time);
        this.tenantTraffic = new TenantTraffic(scenario.tenantsAndKeys().tenants());
        addServers();
        this.directory = new EndpointDirectory(this);
    }

    private void addServers() {
        DoubleSupplier normal = RandomStreams.normal(randomStreams.stream("fleet", 0));
        List<String> zones = scenario.zones();
        for (int i = 0; i < scenario.servers().count(); i++) {
            MachineType machine = machineTypeOf(i);
            double spread = machine.speedSpread() * normal.getAsDouble();
            double speed = machine.speed() * Math.max(MIN_SPEED_FACTOR, 1 + spread);
            Server server = new Server(this, i, machine, zones.get(i % zones.size()), speed);
            servers.add(server);
            serversById.put(server.id(), server);
        }
    }

    /** Assigns machine types in proportion to their weights, spread evenly over the server numbers. */
    private MachineType machineTypeOf(int server) {
        List<MachineType> types = scenario.servers().machines();
        double weights = types.stream().mapToDouble(MachineType::weight).sum();
        double position = (server * GOLDEN_RATIO_FRACTION + 0.5) % 1 * weights;
        for (MachineType type : types) {
            position -= type.weight();
            if (position < 0) {
                return type;
            }
        }
        return types.get(types.size() - 1);
    }

    /** The scenario of this run. */
    public Scenario scenario() {
        return scenario;
    }

    /** The random streams of this run. */
    public RandomStreams randomStreams() {
        return randomStreams;
    }

    /** All servers in order of their numbers; unmodifiable. */
    public List<Server> servers() {
        return Collections.unmodifiableList(servers);
    }

    /** The server with the given identifier; empty if there is none. */
    public Optional<Server> server(String id) {
        return Optional.ofNullable(serversById.get(id));
    }

    /** The directory that notifies the sidecars of endpoints. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** The run's clock, in milliseconds. */
    public double now() {
        return time.now();
    }

    /** Runs a task after a delay on the scheduler thread; see {@link Scheduler#after}. */
    public void schedule(double delayMs, Runnable task) {
        time.after(delayMs, task);
    }

    /** Records an event; {@code request} is null if the event belongs to no request. */
    public void record(Type type, ClientAttempt request, int sidecar, int server, double value) {
        long id = request == null ? RecordedEvent.NONE : request.id();
        int requestClass = request == null ? RecordedEvent.NONE : request.requestClass();
        recorder.record(new RecordedEvent(time.now(), type, id, requestClass, sidecar, server, value));
    }

    /** Work per millisecond that all servers complete when warm and not slowed down. */
    public double fullCapacity() {
        return servers.stream().mapToDouble(Server::fullCapacity).sum();
    }

    // ---- load -----------------------------------------------------------------------------------------

    /** First attempts per millisecond over all sidecars, before the load shape and load faults are applied. */
    public double arrivalsPerMs() {
        return scenario.load().requestsPerSecond() > 0
                ? scenario.load().requestsPerSecond() / 1000
                : scenario.load().utilization() * fullCapacity() / Math.max(MIN_WORK, scenario.meanWork());
    }

    double loadFactor() {
        return loadFactor;
    }

    void setLoadFactor(double factor) {
        loadFactor = factor;
    }

    TenantTraffic tenantTraffic() {
        return tenantTraffic;
    }

    // ---- network --------------------------------------------------------------------------------------

    Network network() {
        return network;
    }

    /** Draws the one-way delay of a message between a sidecar and a server, in milliseconds. */
    public double drawDelayMs(int sidecar, Server server) {
        return network.drawDelayMs(sidecar, server);
    }

    /** One-way delay of a message between a client and its sidecar, in milliseconds. */
    public double clientDelayMs() {
        return scenario.network().clientMs();
    }

    /** Draws the delay of a datagram between two sidecars, in milliseconds; negative if it is lost. */
    public double drawPeerDelayMs() {
        return network.drawPeerDelayMs();
    }

    /** Whether a partition drops all messages between the sidecar and the server. */
    public boolean isPartitioned(int sidecar, int server) {
        return network.isPartitioned(sidecar, server);
    }

    /** Draws whether a message is lost; its connection then stays open, but nothing arrives. */
    public boolean drawMessageLoss() {
        return network.drawLoss();
    }

    // ---- requests at servers --------------------------------------------------------------------------

    /** Factor of a request's work at a server; it depends on the request's key and the server, not on the time. */
    static double workFactor(ClientAttempt request, int server) {
        double fraction = RandomStreams.toUniform(RandomStreams.mix(request.key() * 31 + server));
        return 1 + MAX_WORK_DEVIATION * (2 * fraction - 1);
    }

    KeyedRequests keyedRequests() {
        return keyedRequests;
    }

    /**
     * Adds the statistical margin that the operators' standing test allows to a limit of work: for N requests of mean
     * work, N + 3 sqrt(N) + 3.
     */
    static double withStatisticalMargin(double work, double mean) {
        double requests = work / Math.max(MIN_WORK, mean);
        return mean * (requests + 3 * Math.sqrt(requests) + 3);
    }

    // ---- faults ---------------------------------------------------------------------------------------

    /**
     * Sets the fraction of a class's requests, or of all requests for {@link RecordedEvent#NONE}, that crash their
     * server.
     */
    void setPoison(int requestClass, double fraction) {
        poisonClass = requestClass;
        poisonFraction = fraction;
    }

    /** Whether the request crashes its server; the result is the same for all attempts of a request. */
    boolean isPoisonous(ClientAttempt request) {
        return poisonFraction > 0
                && (poisonClass < 0 || poisonClass == request.requestClass())
                && RandomStreams.toUniform(RandomStreams.mix(request.key() ^ POISON_SALT)) < poisonFraction;
    }

    void crashByPoisonRequest(Server server) {
        if (server.isRunning()) {
            server.crash();
            scheduleCrashDetection(server);
            restart(server, RESTART_AFTER_POISON_MS);
        }
    }

    /** Schedules the directory's detection of a crash, after a random delay. */
    void scheduleCrashDetection(Server server) {
        directory.scheduleRemoval(server, drawDurationMs(scenario.directory().crashDetectionMs()));
    }

    /** Schedules the directory's detection that a machine vanished, after a random delay. */
    void scheduleVanishDetection(Server server) {
        directory.scheduleRemoval(server, drawDurationMs(scenario.directory().vanishDetectionMs()));
    }

    /** Draws a duration for the directory: from 0.5 to 1.5 times the mean. */
    double drawDurationMs(double meanMs) {
        return meanMs * (0.5 + directoryRandom.nextDouble());
    }

    /** Starts the server's next process after the delay, unless the server has restarted by then. */
    void restart(Server server, double afterMs) {
        int incarnation = server.incarnation();
        schedule(afterMs, () -> {
            if (server.incarnation() == incarnation) {
                server.start();
                directory.scheduleAddition(server);
            }
        });
    }
}
