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
 * Everything around the sidecars in one run: servers, directory, network, and the effects of requests. All calls are
 * made on one thread, that of the {@link Scheduler}.
 */
public final class World {
    /** A request takes up to so much more or less work than its own, depending on the server. */
    private static final double SERVER_NOISE = 0.15;
    /** No server is slower than this fraction of its machine type, whatever the spread. */
    private static final double MIN_SPEED_FACTOR = 0.3;
    /** The golden ratio's fraction: its multiples spread evenly over [0, 1). */
    private static final double GOLDEN_FRACTION = 0.6180339887498949;

    private static final double RESTART_AFTER_POISON_MS = 1_000;
    private static final long POISON_SALT = 0x5bd1e995;
    /** Stands for no work at all, where work divides. */
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

    /** {@code recorder} gets each event at its time, on the scheduler's thread. */
    public World(Scenario scenario, long seed, Scheduler time, RecordedEvent.Recorder recorder) {
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

    /** Machine types by their weights, spread evenly over the servers' numbers. */
    private MachineType machineTypeOf(int server) {
        List<MachineType> types = scenario.servers().machines();
        double weights = types.stream().mapToDouble(MachineType::weight).sum();
        double position = (server * GOLDEN_FRACTION + 0.5) % 1 * weights;
        for (MachineType type : types) {
            position -= type.weight();
            if (position < 0) {
                return type;
            }
        }
        return types.get(types.size() - 1);
    }

    /** What the run plays. */
    public Scenario scenario() {
        return scenario;
    }

    /** The run's random numbers. */
    public RandomStreams randomStreams() {
        return randomStreams;
    }

    /** All servers, by number; unmodifiable. */
    public List<Server> servers() {
        return Collections.unmodifiableList(servers);
    }

    /** The server of that identifier; empty where there is none. */
    public Optional<Server> server(String id) {
        return Optional.ofNullable(serversById.get(id));
    }

    /** What the sidecars learn the endpoints from. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** The run's clock, in milliseconds. */
    public double now() {
        return time.now();
    }

    /** Runs a task after a delay on the run's thread; see {@link Scheduler#after}. */
    public void schedule(double delayMs, Runnable task) {
        time.after(delayMs, task);
    }

    /** Records an event; {@code request} is null for one that is of no request. */
    public void record(Type type, ClientAttempt request, int sidecar, int server, double value) {
        long id = request == null ? RecordedEvent.NONE : request.id();
        int requestClass = request == null ? RecordedEvent.NONE : request.requestClass();
        recorder.record(new RecordedEvent(time.now(), type, id, requestClass, sidecar, server, value));
    }

    /** Work per millisecond of all servers, warm and not slowed down. */
    public double fullCapacity() {
        return servers.stream().mapToDouble(Server::fullCapacity).sum();
    }

    // ---- load -----------------------------------------------------------------------------------------

    /** First attempts per millisecond over all sidecars, before the shape of the load and its faults. */
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
    public double delay(int sidecar, Server server) {
        return network.drawDelayMs(sidecar, server);
    }

    /** One-way delay of a message between a client and its sidecar, in milliseconds. */
    public double clientDelay() {
        return scenario.network().clientMs();
    }

    /** Draws the delay of a datagram between two sidecars, in milliseconds; negative for one that is lost. */
    public double messageDelay() {
        return network.drawPeerDelayMs();
    }

    /** Whether messages between the two are dropped. */
    public boolean isPartitioned(int sidecar, int server) {
        return network.isPartitioned(sidecar, server);
    }

    /** Draws whether a message is lost: its connection stays open, and nothing arrives. */
    public boolean losesMessage() {
        return network.drawLoss();
    }

    // ---- requests at servers --------------------------------------------------------------------------

    /** What a request's work is multiplied by at a server; it depends on the request's key, not on the time. */
    static double attemptNoise(ClientAttempt request, int server) {
        double fraction = RandomStreams.unitOf(RandomStreams.mix(request.key() * 31 + server));
        return 1 + SERVER_NOISE * (2 * fraction - 1);
    }

    KeyedRequests keyedRequests() {
        return keyedRequests;
    }

    /** A bound of work, with what the operators' standing test allows for chance: N + 3 sqrt(N) + 3 of mean work. */
    static double withChance(double work, double mean) {
        double requests = work / Math.max(MIN_WORK, mean);
        return mean * (requests + 3 * Math.sqrt(requests) + 3);
    }

    // ---- faults ---------------------------------------------------------------------------------------

    /** A fraction of the requests of a class, or of all for {@link RecordedEvent#NONE}, crash their server. */
    void setPoison(int requestClass, double fraction) {
        poisonClass = requestClass;
        poisonFraction = fraction;
    }

    /** Whether the request crashes its server; the same for all attempts of a request. */
    boolean isPoisonous(ClientAttempt request) {
        return poisonFraction > 0
                && (poisonClass < 0 || poisonClass == request.requestClass())
                && RandomStreams.unitOf(RandomStreams.mix(request.key() ^ POISON_SALT)) < poisonFraction;
    }

    void crashByPoison(Server server) {
        if (server.isRunning()) {
            server.crash();
            noticeCrash(server);
            restart(server, RESTART_AFTER_POISON_MS);
        }
    }

    /** The directory learns of the crash after a while. */
    void noticeCrash(Server server) {
        directory.noticeLoss(server, aroundMs(scenario.directory().crashNoticeMs()));
    }

    /** The directory learns after a while that the machine vanished. */
    void noticeVanish(Server server) {
        directory.noticeLoss(server, aroundMs(scenario.directory().vanishNoticeMs()));
    }

    /** Draws a duration of the directory: from half to one and a half times the mean. */
    double aroundMs(double meanMs) {
        return meanMs * (0.5 + directoryRandom.nextDouble());
    }

    /** Starts the server's next process, unless it has one by then. */
    void restart(Server server, double afterMs) {
        int incarnation = server.incarnation();
        schedule(afterMs, () -> {
            if (server.incarnation() == incarnation) {
                server.start();
                directory.noticeStart(server);
            }
        });
    }
}
