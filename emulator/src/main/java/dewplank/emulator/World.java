package dewplank.emulator;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.MachineType;
import dewplank.emulator.scenario.NetworkModel;
import dewplank.emulator.scenario.PeerMessages;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.TenantLoad;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** All that is round the sidecars in one run: servers, directory, network, what has had its effect. */
public final class World {
    /** The window counts from the sending; a message may take so long. */
    private static final double WINDOW_SLACK_MS = 10;
    /** Longer than any server holds a request. */
    private static final double KEYS_KEPT_MS = 60_000;

    private static final int MOST_KEYS = 1_000_000;

    private final Scenario scenario;
    private final RandomStreams randomStreams;
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Server> serversById = new HashMap<>();
    private final EndpointDirectory directory;
    private final Scheduler time;
    private final RecordedEvent.Recorder recorder;
    /** What the servers of a group share about a keyed request. */
    private static final class Key {
        long request;
        double firstAt;
        boolean done;

        Key(double firstAt) {
            this.firstAt = firstAt;
        }
    }

    private final Map<Long, Key> keys = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Key> eldest) {
            return size() > MOST_KEYS || eldest.getValue().firstAt < now() - KEYS_KEPT_MS;
        }
    };
    private final Set<Long> partitions = new HashSet<>();
    private final DoubleSupplier jitter;
    final UniformRandomProvider directoryRandom;
    private final UniformRandomProvider lossRandom;
    private final double[] attemptNoise;
    private double poisonPart;
    private int poisonKind = -1;
    private double loadFactor = 1;
    private final double[] tenantFactors;
    private double[] tenantsUpTo;
    private double tenantLoad = 1;
    private final UniformRandomProvider messageRandom;
    private double loss;

    public World(Scenario scenario, long seed, Scheduler time, RecordedEvent.Recorder recorder) {
        this.scenario = scenario;
        this.randomStreams = new RandomStreams(seed);
        this.time = time;
        this.recorder = recorder;
        this.jitter = RandomStreams.exponential(randomStreams.stream("network", 0));
        this.directoryRandom = randomStreams.stream("directory", 0);
        this.lossRandom = randomStreams.stream("loss", 0);
        this.attemptNoise = new double[] {0.15};
        this.messageRandom = randomStreams.stream("messages", 0);
        this.tenantFactors = new double[scenario.tenantsAndKeys().tenants().size()];
        Arrays.fill(tenantFactors, 1);
        shareOut();
        double shares = scenario.servers().machines().stream()
                .mapToDouble(MachineType::weight)
                .sum();
        UniformRandomProvider random = randomStreams.stream("fleet", 0);
        DoubleSupplier normal = RandomStreams.normal(random);
        int count = scenario.servers().count();
        for (int i = 0; i < count; i++) { // kinds by their shares, spread evenly over the numbers
            double place = (i * 0.6180339887498949 + 0.5) % 1 * shares;
            MachineType machine = scenario.servers().machines().get(0);
            for (MachineType m : scenario.servers().machines()) {
                machine = m;
                place -= m.weight();
                if (place < 0) {
                    break;
                }
            }
            double speed = machine.speed() * Math.max(0.3, 1 + machine.speedSpread() * normal.getAsDouble());
            Server server = new Server(
                    this, i, machine, scenario.zones().get(i % scenario.zones().size()), speed);
            servers.add(server);
            serversById.put(server.id(), server);
        }
        this.directory = new EndpointDirectory(this);
    }

    public Scenario scenario() {
        return scenario;
    }

    public RandomStreams randomStreams() {
        return randomStreams;
    }

    /** All servers, by number. */
    public List<Server> servers() {
        return servers;
    }

    /** The server of that identifier, or null where there is none. */
    public Server server(String id) {
        return serversById.get(id);
    }

    public EndpointDirectory directory() {
        return directory;
    }

    /** The run's clock, in milliseconds. */
    public double now() {
        return time.now();
    }

    public void schedule(double ms, Runnable task) {
        time.after(ms, task);
    }

    /** Work per millisecond of all servers, warm and left alone. */
    public double fullCapacity() {
        return servers.stream().mapToDouble(Server::fullCapacity).sum();
    }

    /** First tries per millisecond over all sidecars, before the shape of the load. */
    public double arrivalsPerMs() {
        return scenario.load().requestsPerSecond() > 0
                ? scenario.load().requestsPerSecond() / 1000
                : scenario.load().utilization() * fullCapacity() / Math.max(1e-9, scenario.meanWork());
    }

    public void record(Type what, ClientAttempt request, int sidecar, int server, double value) {
        recorder.record(new RecordedEvent(
                time.now(),
                what,
                request == null ? -1 : request.id(),
                request == null ? -1 : request.requestClass(),
                sidecar,
                server,
                value));
    }

    // ---- the network ----------------------------------------------------------------------------------

    /** How long a message takes one way between a sidecar and a server. */
    public double delay(int sidecar, Server server) {
        NetworkModel n = scenario.network();
        double base = scenario.zoneOfSidecar(sidecar).equals(server.zone()) ? n.sameZoneMs() : n.crossZoneMs();
        return base * (1 + n.jitter() * jitter.getAsDouble());
    }

    public double clientDelay() {
        return scenario.network().clientMs();
    }

    /** Whether messages between the two are lost without a word. */
    public boolean isPartitioned(int sidecar, int server) {
        return !partitions.isEmpty() && partitions.contains(pair(sidecar, server));
    }

    void setPartitioned(int sidecar, int server, boolean isPartitioned) {
        if (isPartitioned) {
            partitions.add(pair(sidecar, server));
        } else {
            partitions.remove(pair(sidecar, server));
        }
    }

    /** Whether this message is lost on its way: its connection stays open, and nothing comes. */
    public boolean losesMessage() {
        return loss > 0 && lossRandom.nextDouble() < loss;
    }

    void setLoss(double part) {
        loss = part;
    }

    private static long pair(int sidecar, int server) {
        return (long) sidecar << 32 | server;
    }

    // ---- requests at servers --------------------------------------------------------------------------

    /** The same request takes a little more or less on each server; which, is settled by its key. */
    double attemptNoise(ClientAttempt request, int server) {
        double u = (RandomStreams.mix(request.key() * 31 + server) >>> 11) * 0x1.0p-53;
        return 1 + attemptNoise[0] * (2 * u - 1);
    }

    private long group(ClientAttempt request, Server server) {
        long group =
                switch (scenario.classes().get(request.requestClass()).deduplicationScope()) {
                    case ALL -> 0;
                    case ZONE -> 1 + scenario.zones().indexOf(server.zone());
                    case CELL -> 1 + server.cell();
                };
        return request.key() * 10_007 + group;
    }

    /**
     * A keyed request has come: whether its group of servers will know it from the first attempt of the same try. A
     * client's next try begins a window of its own: clients repeat only while servers remember.
     */
    boolean withinWindow(ClientAttempt request, Server server) {
        double window = scenario.classes().get(request.requestClass()).deduplicationWindowMs() + WINDOW_SLACK_MS;
        Key key = keys.computeIfAbsent(group(request, server), k -> new Key(now()));
        if (key.request != request.id()) {
            key.request = request.id();
            key.firstAt = now();
        }
        return now() - key.firstAt <= window;
    }

    /** It is about to have its effect: whether it is the first of its key, among those that are known from it. */
    boolean firstOfKey(ClientAttempt request, Server server) {
        Key key = keys.get(group(request, server));
        boolean first = key == null || !key.done;
        if (key != null) {
            key.done = true;
        }
        return first;
    }

    /** A budget of work, with what the operators' standing test allows for chance: N + 3 sqrt(N) + 3 of mean work. */
    static double withChance(double work, double mean) {
        double n = work / Math.max(1e-9, mean);
        return mean * (n + 3 * Math.sqrt(n) + 3);
    }

    // ---- what goes wrong ------------------------------------------------------------------------------

    double loadFactor() {
        return loadFactor;
    }

    void setLoadFactor(double factor) {
        loadFactor = factor;
    }

    /** The tenants' parts of the traffic, added up. */
    double[] tenantsUpTo() {
        return tenantsUpTo;
    }

    /** Times the usual traffic that all tenants together ask for now. */
    double tenantLoad() {
        return tenantLoad;
    }

    void setTenantLoad(int tenant, double factor) {
        tenantFactors[tenant] = factor;
        shareOut();
    }

    private void shareOut() {
        List<TenantLoad> tenants = scenario.tenantsAndKeys().tenants();
        double[] asks = new double[tenants.size()];
        double usual = 0;
        double now = 0;
        for (int i = 0; i < asks.length; i++) {
            double part = tenants.get(i).share() * tenants.get(i).usage();
            usual += part;
            now += part * tenantFactors[i];
            asks[i] = now;
        }
        tenantLoad = usual <= 0 ? 1 : now / usual;
        double sum = now;
        tenantsUpTo = Arrays.stream(asks).map(a -> sum <= 0 ? 1 : a / sum).toArray();
    }

    /** How long a datagram between two sidecars takes, or -1 for a lost one. */
    public double messageDelay() {
        PeerMessages m = scenario.peerMessages();
        boolean lostOnTheWay = messageRandom.nextDouble() < m.lossRate();
        double delay = m.minDelayMs() + (m.maxDelayMs() - m.minDelayMs()) * messageRandom.nextDouble();
        return lostOnTheWay ? -1 : delay;
    }

    void setPoison(int kind, double part) {
        poisonKind = kind;
        poisonPart = part;
    }

    /** Whether its server will not survive it; every try of one request is alike. */
    boolean poison(ClientAttempt request) {
        return poisonPart > 0
                && (poisonKind < 0 || poisonKind == request.requestClass())
                && (RandomStreams.mix(request.key() ^ 0x5bd1e995) >>> 11) * 0x1.0p-53 < poisonPart;
    }

    void crashByPoison(Server server) {
        if (server.state() == Server.State.UP || server.state() == Server.State.DRAINING) {
            server.crash();
            serverDied(server);
            restart(server, 1_000);
        }
    }

    void serverDied(Server server) {
        directory.noticeLoss(server, scenario.directory().crashNoticeMs() * (0.5 + directoryRandom.nextDouble()));
    }

    void restart(Server server, double afterMs) {
        int life = server.incarnation();
        schedule(afterMs, () -> {
            if (server.incarnation() == life) {
                server.start();
                directory.noticeStart(server);
            }
        });
    }
}
