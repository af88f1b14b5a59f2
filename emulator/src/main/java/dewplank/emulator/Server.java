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
 * An emulated server and its successive processes. Requests in slots share the cores. When all slots are taken,
 * requests are queued; when the queue is full, they are rejected.
 *
 * <p>All methods must be called on the scheduler thread. Work is in milliseconds of a standard core.
 */
public final class Server {
    /** How a request ended at the server. No handler is called for a lost response or a vanished machine. */
    public enum Reply {
        OK,
        ERROR,
        /** The server did not execute the request. */
        NEVER_RAN,
        RESET
    }

    /** Called when a request has ended, on the scheduler thread. */
    public interface ResponseHandler {
        /** {@code loadReport}: the reported number of requests in flight, or negative if there is no load report. */
        void onReply(Reply reply, double loadReport);
    }

    /** State of the server's process and machine. */
    public enum State {
        UP,
        /** The process completes its requests and rejects new ones. */
        DRAINING,
        /** The process has ended: its connections are reset and new ones are refused. */
        CRASHED,
        /** The machine is lost: it sends nothing, not even a reset. */
        VANISHED;

        private boolean canBecome(State next) {
            return switch (this) {
                case UP -> next != UP;
                case DRAINING -> next == DRAINING || next == CRASHED;
                case CRASHED, VANISHED -> next == UP;
            };
        }
    }

    private final EmulatedEnvironment environment;
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

    /** {@code baseSpeed}: work per millisecond that a core completes when warm. */
    Server(EmulatedEnvironment environment, int number, MachineType machine, String zone, double baseSpeed) {
        Scenario scenario = environment.scenario();
        this.environment = environment;
        this.number = number;
        this.id = "s-" + Long.toHexString(RandomStreams.mix(number) >>> 32);
        this.machine = machine;
        this.zone = zone;
        this.cell = number / scenario.servers().cellSize();
        this.random = environment.randomStreams().stream("server", number);
        this.connections = new ConnectionTable(scenario.connections());
        this.warmUp = new WarmUp(environment, machine);
        this.speed = new ServerSpeed(environment, machine, baseSpeed, warmUp, connections);
        this.jobs = new JobScheduler(
                environment,
                machine,
                RandomStreams.exponential(environment.randomStreams().stream("waits", number)),
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
        this.coldLoadLimit = new ColdLoadLimit(environment, warmUp, fullCapacity());
        this.keyCache = new KeyCache(scenario.tenantsAndKeys().keys(), machine.cores());
        this.loadReporter = new LoadReporter(scenario.loadReports(), random);
        this.faultRates = new FaultRates(machine, scenario.classes().size(), random);
        if (machine.pauseIntervalMs() > 0 && machine.pauseMs() > 0) {
            scheduleNextPause();
        }
    }

    // ---- actual state, for the oracle, the tests and the drivers --------------------------------------

    /** Index of the server in {@link EmulatedEnvironment#servers()}. */
    public int number() {
        return number;
    }

    /** The server's identifier in the endpoint list. */
    public String id() {
        return id;
    }

    /** The machine's zone, as given in the endpoint list. */
    public String zone() {
        return zone;
    }

    /** Number of the server's failure cell; keyed requests may be deduplicated within a cell. */
    public int cell() {
        return cell;
    }

    /** Type of the machine that the server runs on. */
    public MachineType machine() {
        return machine;
    }

    /** Current state. */
    public State state() {
        return state;
    }

    /** Incarnation number of the process; incremented after each crash and each loss of the machine. */
    public int incarnation() {
        return incarnation;
    }

    /** Start time of the process in milliseconds; negative infinity if it was started before the scenario. */
    public double startedAtMs() {
        return warmUp.startedAtMs();
    }

    /** Number of requests in slots, including those that wait on dependencies, and in the queue. */
    public int requestsInFlight() {
        return jobs.size();
    }

    /** Work per millisecond that the server completes when warm and not slowed down. */
    public double fullCapacity() {
        return machine.cores() * speed.baseWorkPerCoreMs();
    }

    /** Work per millisecond that the server currently completes. */
    public double capacity() {
        return isRunning() ? machine.cores() * speed.workPerCoreMs() : 0;
    }

    /** Remaining work of the requests in slots and in the queue. */
    public double backlog() {
        return jobs.backlog();
    }

    /**
     * Expected duration of a request with the given work if it arrived now, according to the actual state. The request
     * shares the cores with the requests in flight and with {@code inTransit} further requests of mean work, and the
     * backlog is completed first. Infinite if the server accepts no requests.
     */
    public double expectedMs(double work, int inTransit) {
        double capacity = capacity();
        if (capacity <= 0 || state != State.UP) {
            return Double.POSITIVE_INFINITY;
        }
        double sharing = Math.max(1, (double) (requestsInFlight() + inTransit + 1) / machine.cores());
        double meanWork = environment.scenario().meanWork();
        return Math.max(
                work * machine.cores() / capacity * sharing, (backlog() + inTransit * meanWork + work) / capacity);
    }

    boolean isRunning() {
        return state == State.UP || state == State.DRAINING;
    }

    // ---- connections ----------------------------------------------------------------------------------

    /** Accepts a connection if a process runs and the table isn't full. The handshake delays the running requests. */
    public boolean connect() {
        if (!isRunning() || connections.isFull()) {
            return false;
        }
        connections.add();
        jobs.delayBy(environment.scenario().connections().handshakeWork());
        return true;
    }

    /** Whether the given incarnation vanished with its machine, so that its connections still appear open. */
    public boolean hasVanished(int processIncarnation) {
        return vanishedIncarnations.contains(processIncarnation);
    }

    /** Closes a connection to the given incarnation of the process. */
    public void disconnect(int processIncarnation) {
        if (processIncarnation == incarnation) {
            connections.remove();
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    /** Handles a request that has arrived completely. */
    public void offer(ClientAttempt request, int sidecar, ResponseHandler handler) {
        if (state == State.VANISHED) {
            return;
        }
        if (state == State.CRASHED) {
            handler.onReply(Reply.RESET, LoadReporter.NO_REPORT);
            return;
        }
        double savedFraction = keyCache.use(request.subjectKey(), environment.now());
        double work = request.work() * EmulatedEnvironment.workFactor(request, number) * (1 - savedFraction);
        environment.record(Type.RECEIVED, request, sidecar, number, work);
        jobs.update();
        if (coldLoadLimit.isExceededBy(classOf(request).work())) {
            collapse();
            handler.onReply(Reply.RESET, LoadReporter.NO_REPORT);
        } else if (faultRates.drawImmediateError()) {
            handler.onReply(Reply.ERROR, loadReport());
        } else if (state == State.DRAINING || jobs.isFull()) {
            environment.record(Type.REJECTED, request, sidecar, number, 0);
            handler.onReply(Reply.NEVER_RAN, loadReport());
        } else {
            accept(request, work, handler);
        }
    }

    private void accept(ClientAttempt request, double work, ResponseHandler handler) {
        boolean isKeyed = classOf(request).idempotency() == Idempotency.KEYED;
        jobs.add(new ServerJob(
                request, work, handler, isKeyed && environment.keyedRequests().isWithinWindow(request, this)));
    }

    private RequestClassSpec classOf(ClientAttempt request) {
        return environment.scenario().classes().get(request.requestClass());
    }

    private double loadReport() {
        return loadReporter.report(requestsInFlight(), environment.now());
    }

    private void recordStart(ServerJob job) {
        environment.record(Type.STARTED, job.request, job.request.sidecar(), number, 0);
        if (environment.isPoisonous(job.request)) {
            environment.schedule(0, () -> environment.crashByPoisonRequest(this));
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
        boolean isFirst = !job.isDeduplicated || environment.keyedRequests().isFirstEffect(job.request, this);
        Type type = isFirst ? Type.EFFECT : Type.DEDUPLICATED;
        environment.record(type, job.request, job.request.sidecar(), number, 0);
    }

    // ---- injected faults ------------------------------------------------------------------------------

    FaultRates faultRates() {
        return faultRates;
    }

    void pause(double durationMs) {
        speed.pause(durationMs);
        jobs.onSpeedChanged();
    }

    /** Makes the server {@code factor} times slower; 1 restores the base speed. */
    void setSlowdown(double factor) {
        speed.setSlowdown(factor);
        jobs.onSpeedChanged();
    }

    /** Sets the fraction of each core that a neighbour on the machine uses. */
    void setNeighbourFraction(double fraction) {
        speed.setNeighbourFraction(fraction);
        jobs.onSpeedChanged();
    }

    /** Schedules the next pause, such as a garbage collection: exponential gap, 0.5 to 1.5 times the mean duration. */
    private void scheduleNextPause() {
        double waitMs = -StrictMath.log(1 - random.nextDouble()) * machine.pauseIntervalMs();
        environment.schedule(waitMs, () -> {
            pause(machine.pauseMs() * (0.5 + random.nextDouble()));
            scheduleNextPause();
        });
    }

    // ---- lifecycle ------------------------------------------------------------------------------------

    /** Starts the process, cold. */
    void start() {
        transitionTo(State.UP);
        warmUp.onProcessStarted();
        speed.onProcessStarted();
        jobs.update();
        environment.record(Type.SERVER_STARTED, null, -1, number, fullCapacity());
    }

    /** Starts draining: the process completes its requests and rejects new ones. */
    void drain() {
        transitionTo(State.DRAINING);
    }

    /** Ends the process: its connections are reset and new ones are refused. */
    void crash() {
        transitionTo(State.CRASHED);
        environment.record(Type.SERVER_DOWN, null, -1, number, 0);
        for (ServerJob job : endProcess()) {
            job.handler.onReply(Reply.RESET, LoadReporter.NO_REPORT);
        }
    }

    /** Simulates the loss of the machine: clients receive nothing more from it, not even a reset. */
    void vanish() {
        transitionTo(State.VANISHED);
        vanishedIncarnations.add(incarnation);
        environment.record(Type.SERVER_DOWN, null, -1, number, 1);
        endProcess();
    }

    /** Crashes a cold process that exceeded its load limit. */
    private void collapse() {
        environment.record(Type.SERVER_COLLAPSED, null, -1, number, coldLoadLimit.offeredWork());
        crash();
        environment.scheduleCrashDetection(this);
    }

    private void transitionTo(State next) {
        if (!state.canBecome(next)) {
            throw new IllegalStateException("server " + number + " can't change from " + state + " to " + next);
        }
        state = next;
    }

    /** Clears the state of the ended process, and returns the requests that it had in flight. */
    private List<ServerJob> endProcess() {
        List<ServerJob> lost = jobs.removeAll();
        connections.clear();
        keyCache.clear();
        coldLoadLimit.clear();
        faultRates.onProcessEnded();
        speed.onProcessEnded();
        incarnation++;
        return lost;
    }
}
