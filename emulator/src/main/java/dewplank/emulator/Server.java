package dewplank.emulator;

import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.MachineType;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An emulated server and its processes, one after the other: requests in slots share its cores, those beyond the slots
 * wait in a queue, and those beyond the queue are rejected.
 *
 * <p>All calls are made on the world's thread. Work is in milliseconds of a standard core.
 */
public final class Server {
    /** How a request ended at the server. A lost response and a vanished machine call no handler. */
    public enum Reply {
        OK,
        ERROR,
        /** The server did not work on it. */
        NEVER_RAN,
        RESET
    }

    /** Takes the end of a request, on the world's thread. */
    public interface ResponseHandler {
        /** {@code loadReport}: the requests in flight that the server reports, or negative where it reports none. */
        void onReply(Reply reply, double loadReport);
    }

    /** State of the server's process and machine. */
    public enum State {
        UP,
        /** It ends what it has and rejects the rest. */
        DRAINING,
        /** The process ended: connections are reset and new ones refused. */
        CRASHED,
        /** The machine is gone: nothing comes back from it. */
        VANISHED;

        private boolean canBecome(State next) {
            return switch (this) {
                case UP -> next != UP;
                case DRAINING -> next == DRAINING || next == CRASHED;
                case CRASHED, VANISHED -> next == UP;
            };
        }
    }

    private final World world;
    private final int number;
    private final String id;
    private final String zone;
    private final int cell;
    private final MachineType machine;
    private final UniformRandomProvider random;

    private final ConnectionTable connections;
    private final WarmUp warmUp;
    private final ServerSpeed speed;
    private final JobScheduler jobs;
    private final ColdLoadLimit coldLoadLimit;
    private final KeyCache keyCache;
    private final LoadReporter loadReporter;
    private final FaultRates faultRates;

    private State state = State.UP;
    private int incarnation;
    private final Set<Integer> vanishedIncarnations = new HashSet<>();

    /** {@code baseSpeed}: work per millisecond of a core when warm. */
    Server(World world, int number, MachineType machine, String zone, double baseSpeed) {
        Scenario scenario = world.scenario();
        this.world = world;
        this.number = number;
        this.id = "s-" + Long.toHexString(RandomStreams.mix(number) >>> 32);
        this.machine = machine;
        this.zone = zone;
        this.cell = number / scenario.servers().cellSize();
        this.random = world.randomStreams().stream("server", number);
        this.connections = new ConnectionTable(scenario.connections());
        this.warmUp = new WarmUp(world, machine);
        this.speed = new ServerSpeed(world, machine, baseSpeed, warmUp, connections);
        this.jobs = new JobScheduler(
                world,
                machine,
                RandomStreams.exponential(world.randomStreams().stream("waits", number)),
                speed,
                new JobScheduler.Listener() {
                    @Override
                    public void onStarted(ServerJob job) {
                        recordStart(job);
                    }

                    @Override
                    public void onFinished(ServerJob job) {
                        finish(job);
                    }
                });
        this.coldLoadLimit = new ColdLoadLimit(world, warmUp, fullCapacity());
        this.keyCache = new KeyCache(scenario.tenantsAndKeys().keys(), machine.cores());
        this.loadReporter = new LoadReporter(scenario.loadReports(), random);
        this.faultRates = new FaultRates(machine, scenario.classes().size(), random);
        if (machine.pauseEveryMs() > 0 && machine.pauseMs() > 0) {
            scheduleNextPause();
        }
    }

    // ---- the true state, for the oracle, the tests and the drivers ------------------------------------

    /** Index of the server in {@link World#servers()}. */
    public int number() {
        return number;
    }

    /** Identifier in the endpoint list. */
    public String id() {
        return id;
    }

    /** Zone of the machine, as in the endpoint list. */
    public String zone() {
        return zone;
    }

    /** Number of the failure cell, within which keyed requests may be deduplicated. */
    public int cell() {
        return cell;
    }

    /** Type of the machine that it runs on. */
    public MachineType machine() {
        return machine;
    }

    /** State at this moment. */
    public State state() {
        return state;
    }

    /** Number of the server's process; one higher after each crash and each loss of the machine. */
    public int incarnation() {
        return incarnation;
    }

    /** When the process started, in milliseconds; negative infinity for one that ran before the scenario began. */
    public double startedAtMs() {
        return warmUp.startedAtMs();
    }

    /** Requests in slots, in the queue, and waiting on others. */
    public int requestsInFlight() {
        return jobs.size();
    }

    /** Work per millisecond when warm and not slowed down. */
    public double fullCapacity() {
        return machine.cores() * speed.baseWorkPerCoreMs();
    }

    /** Work per millisecond that it can do now. */
    public double capacity() {
        return isRunning() ? machine.cores() * speed.workPerCoreMs() : 0;
    }

    /** Work of the requests in slots and in the queue that is not done. */
    public double backlog() {
        return jobs.backlog();
    }

    /**
     * Expected duration of a request of that work if it came now, by the true state: the cores are shared with the
     * requests in flight and with {@code onTheWay} more of mean work, and the backlog comes first. Infinite where the
     * server takes no requests.
     */
    public double expectedMs(double work, int onTheWay) {
        double capacity = capacity();
        if (capacity <= 0 || state != State.UP) {
            return Double.POSITIVE_INFINITY;
        }
        double sharing = Math.max(1, (double) (requestsInFlight() + onTheWay + 1) / machine.cores());
        double meanWork = world.scenario().meanWork();
        return Math.max(
                work * machine.cores() / capacity * sharing, (backlog() + onTheWay * meanWork + work) / capacity);
    }

    boolean isRunning() {
        return state == State.UP || state == State.DRAINING;
    }

    // ---- connections ----------------------------------------------------------------------------------

    /** Accepts a connection, unless no process runs or the table is full. The handshake delays the running requests. */
    public boolean connect() {
        if (!isRunning() || connections.isFull()) {
            return false;
        }
        connections.add();
        jobs.delayBy(world.scenario().connections().handshakeWork());
        return true;
    }

    /** Whether the process of that incarnation vanished with its machine, so that its connections still seem open. */
    public boolean vanishedIn(int ofIncarnation) {
        return vanishedIncarnations.contains(ofIncarnation);
    }

    /** A connection to the process of that incarnation was closed. */
    public void disconnect(int ofIncarnation) {
        if (ofIncarnation == incarnation) {
            connections.remove();
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    /** The last byte of a request has arrived. */
    public void offer(ClientAttempt request, int sidecar, ResponseHandler handler) {
        if (state == State.VANISHED) {
            return;
        }
        if (state == State.CRASHED) {
            handler.onReply(Reply.RESET, LoadReporter.NO_REPORT);
            return;
        }
        double saved = keyCache.use(request.subjectKey(), world.now());
        double work = request.work() * World.attemptNoise(request, number) * (1 - saved);
        world.record(Type.RECEIVED, request, sidecar, number, work);
        jobs.update();
        if (coldLoadLimit.isExceededBy(classOf(request).work())) {
            collapse();
            handler.onReply(Reply.RESET, LoadReporter.NO_REPORT);
        } else if (faultRates.drawImmediateError()) {
            handler.onReply(Reply.ERROR, loadReport());
        } else if (state == State.DRAINING || jobs.isFull()) {
            world.record(Type.REJECTED, request, sidecar, number, 0);
            handler.onReply(Reply.NEVER_RAN, loadReport());
        } else {
            accept(request, work, handler);
        }
    }

    private void accept(ClientAttempt request, double work, ResponseHandler handler) {
        boolean isKeyed = classOf(request).idempotency() == Idempotency.KEYED;
        jobs.add(new ServerJob(
                request, work, handler, isKeyed && world.keyedRequests().isWithinWindow(request, this)));
    }

    private RequestClassSpec classOf(ClientAttempt request) {
        return world.scenario().classes().get(request.requestClass());
    }

    private double loadReport() {
        return loadReporter.report(requestsInFlight(), world.now());
    }

    private void recordStart(ServerJob job) {
        world.record(Type.STARTED, job.request, job.request.sidecar(), number, 0);
        if (world.isPoisonous(job.request)) {
            world.schedule(0, () -> world.crashByPoison(this));
        }
    }

    private void finish(ServerJob job) {
        boolean isError = faultRates.drawError(job.request.requestClass());
        if (!isError) {
            takeEffect(job);
        }
        switch (faultRates.drawDelivery()) {
            case LOST -> {}
            case RESET -> job.handler.onReply(Reply.RESET, loadReport());
            case DELIVERED -> job.handler.onReply(isError ? Reply.ERROR : Reply.OK, loadReport());
        }
    }

    private void takeEffect(ServerJob job) {
        boolean isFirst = !job.isDeduplicated || world.keyedRequests().isFirstEffect(job.request, this);
        Type type = isFirst ? Type.EFFECT : Type.DEDUPLICATED;
        world.record(type, job.request, job.request.sidecar(), number, 0);
    }

    // ---- injected faults ------------------------------------------------------------------------------

    FaultRates faultRates() {
        return faultRates;
    }

    void pause(double durationMs) {
        speed.pause(durationMs);
        jobs.speedChanged();
    }

    /** {@code factor} times slower; 1 for the usual speed. */
    void setSlowdown(double factor) {
        speed.setSlowdown(factor);
        jobs.speedChanged();
    }

    /** A neighbour on the machine takes this part of each core. */
    void setNeighbourFraction(double fraction) {
        speed.setNeighbourFraction(fraction);
        jobs.speedChanged();
    }

    /** Pauses such as a garbage collector's: exponential gaps, durations of half to one and a half times the mean. */
    private void scheduleNextPause() {
        double waitMs = -Math.log(1 - random.nextDouble()) * machine.pauseEveryMs();
        world.schedule(waitMs, () -> {
            pause(machine.pauseMs() * (0.5 + random.nextDouble()));
            scheduleNextPause();
        });
    }

    // ---- lifecycle ------------------------------------------------------------------------------------

    /** The process starts, cold. */
    void start() {
        become(State.UP);
        warmUp.processStarted();
        speed.processStarted();
        jobs.update();
        world.record(Type.SERVER_STARTED, null, -1, number, fullCapacity());
    }

    /** The process ends what it has and rejects new requests. */
    void drain() {
        become(State.DRAINING);
    }

    /** The process ends: its connections are reset and new ones refused. */
    void crash() {
        become(State.CRASHED);
        world.record(Type.SERVER_DOWN, null, -1, number, 0);
        for (ServerJob job : endProcess()) {
            job.handler.onReply(Reply.RESET, LoadReporter.NO_REPORT);
        }
    }

    /** The machine vanishes: its clients receive nothing more, not even a reset. */
    void vanish() {
        become(State.VANISHED);
        vanishedIncarnations.add(incarnation);
        world.record(Type.SERVER_DOWN, null, -1, number, 1);
        endProcess();
    }

    /** A cold process breaks down under its load. */
    private void collapse() {
        world.record(Type.SERVER_COLLAPSED, null, -1, number, coldLoadLimit.offeredWork());
        crash();
        world.noticeCrash(this);
    }

    private void become(State next) {
        if (!state.canBecome(next)) {
            throw new IllegalStateException("server " + number + " is " + state + " and cannot become " + next);
        }
        state = next;
    }

    /** Drops what belongs to the process; answers the requests that it had. */
    private List<ServerJob> endProcess() {
        List<ServerJob> lost = jobs.removeAll();
        connections.clear();
        keyCache.clear();
        coldLoadLimit.clear();
        faultRates.processEnded();
        speed.processEnded();
        incarnation++;
        return lost;
    }
}
