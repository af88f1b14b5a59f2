package dewplank.emulator;

import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Scenario.MachineType;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One server: cores shared by the requests in its slots (processor sharing), a queue beyond them, and refusal beyond
 * that. Its speed depends on warmth, on a neighbour, on pauses, on how crowded it is and on its table of connections.
 *
 * <p>Attained service V is the work done for each request in a slot so far; a request that came at V with work w is
 * done at V + w (Kleinrock, Queueing Systems II, 4.4). So one number moves, however many requests there are.
 */
public final class Server {
    /** How an offer of work ended. A lost answer and a silent machine call nobody. */
    public enum Reply {
        OK,
        ERROR,
        NEVER_RAN,
        RESET
    }

    public interface ResponseHandler {
        /** {@code inFlight}: the load report, or -1. */
        void onReply(Reply reply, double inFlight);
    }

    public enum State {
        UP,
        DRAINING,
        CRASHED,
        VANISHED
    }

    private static final double COLD_STEP_MS = 50;
    private static final double DONE = 1e-6;

    /** One request at the server. */
    private static final class Job implements Comparable<Job> {
        final ClientAttempt request;
        final double work;
        final ResponseHandler handler;
        final boolean isDeduplicated;
        double doneAtWork;
        long arrivalOrder;

        /** {@code known}: of a keyed one, whether its repeats are recognised. */
        Job(ClientAttempt request, double work, ResponseHandler answer, boolean known) {
            this.request = request;
            this.isDeduplicated = known;
            this.work = work;
            this.handler = answer;
        }

        @Override
        public int compareTo(Job other) {
            int byWork = Double.compare(doneAtWork, other.doneAtWork);
            return byWork != 0 ? byWork : Long.compare(arrivalOrder, other.arrivalOrder);
        }
    }

    private record OfferedWork(double at, double work) {}

    private final int number;
    private final String id;
    private final String zone;
    private final int cell;
    private final MachineType machine;
    private final World world;
    private final double speed;
    private final UniformRandomProvider random;
    private final int slots;
    private final int maxQueued;
    private final PriorityQueue<Job> running = new PriorityQueue<>();
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<OfferedWork> offeredWhileCold = new ArrayDeque<>();
    private double offeredWorkSum;
    private State state = State.UP;
    private int incarnation;
    private final Set<Integer> vanishedIncarnations = new HashSet<>();
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double attainedWork;
    private double updatedAtMs;
    private double workRate;
    private long nextTurn;
    private long planNumber;
    private int connections;
    private double slowdown = 1;
    private double neighbourShare;
    private double pausedUntil;
    private double overloadedSince = Double.NaN;
    private double recoveringSince = Double.NaN;
    private double slowedDownAt = Double.NaN;
    private double reportedInFlight;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double busyCoreMs;
    /** FaultInjector that the server answers with; parts of its requests, by class. */
    final double[] errorRate;

    double lostAnswerRate;
    double resetRate;
    /** The part of requests that it answers with an error at once, without working on them. */
    double immediateErrorRate;

    private final LinkedHashMap<Integer, Double> cachedKeys;
    private final Set<Job> waitingOnOthers = new HashSet<>();
    private final DoubleSupplier waitTimes;

    Server(World world, int number, MachineType machine, String zone, double speed) {
        this.world = world;
        this.number = number;
        this.id = "s-" + Long.toHexString(RandomStreams.mix(number) >>> 32);
        this.machine = machine;
        this.zone = zone;
        this.cell = number / world.scenario().servers().cellSize();
        this.speed = speed;
        this.random = world.randomStreams().stream("server", number);
        this.slots = (int) Math.max(1, Math.round(machine.cores() * machine.slotsPerCore()));
        this.maxQueued = (int) Math.round(machine.cores() * machine.queuePerCore());
        this.errorRate = new double[world.scenario().classes().size()];
        Arrays.fill(errorRate, machine.errorRate());
        int maxKeys = (int)
                Math.max(1, machine.cores() * world.scenario().subjects().keys().maxKeysPerCore());
        this.cachedKeys = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Double> eldest) {
                return size() > maxKeys;
            }
        };
        this.waitTimes = RandomStreams.exponential(world.randomStreams().stream("waits", number));
        if (machine.pauseEveryMs() > 0 && machine.pauseMs() > 0) {
            nextPause();
        }
    }

    // ---- what the oracle and the tests may look at ----------------------------------------------------

    /** Index of the server in {@link World#servers()}. */
    public int number() {
        return number;
    }

    /** Identifier in the endpoint list. */
    public String id() {
        return id;
    }

    public String zone() {
        return zone;
    }

    /** Number of the failure cell, within which keyed requests may be deduplicated. */
    public int cell() {
        return cell;
    }

    public MachineType machine() {
        return machine;
    }

    public State state() {
        return state;
    }

    public int incarnation() {
        return incarnation;
    }

    /** Requests that it holds. */
    public int requestsInFlight() {
        return running.size() + waitingOnOthers.size() + queue.size();
    }

    public int connections() {
        return connections;
    }

    /** Work per millisecond when warm and left alone. */
    public double fullCapacity() {
        return machine.cores() * speed;
    }

    /** Work per millisecond that it can do now. */
    public double capacity() {
        return state == State.CRASHED || state == State.VANISHED ? 0 : machine.cores() * coreSpeed();
    }

    /** Work that it holds and has not done. */
    public double backlog() {
        double reached = attainedWork + (world.now() - updatedAtMs) * workRate;
        double sum = 0;
        for (Job j : running) {
            sum += Math.max(0, j.doneAtWork - reached);
        }
        for (Job j : queue) {
            sum += j.work;
        }
        return sum;
    }

    /**
     * How long a request of that work would take that comes now, by the true state: the cores shared with what is held
     * and with as many more of the mean as are {@code coming}, and no sooner than the backlog lets it. Infinite where
     * it can't.
     */
    public double expectedMs(double work, int coming) {
        double capacity = capacity();
        if (capacity <= 0 || state != State.UP) {
            return Double.POSITIVE_INFINITY;
        }
        double crowd = Math.max(1, (double) (requestsInFlight() + coming + 1) / machine.cores());
        double mean = world.scenario().meanWork();
        return Math.max(work * machine.cores() / capacity * crowd, (backlog() + coming * mean + work) / capacity);
    }

    public double startedAt() {
        return startedAt;
    }

    /** Core-milliseconds spent so far. */
    public double busyMs() {
        return busyCoreMs + (world.now() - updatedAtMs) * Math.min(running.size(), machine.cores());
    }

    public boolean isSlowedDown() {
        return !Double.isNaN(slowedDownAt);
    }

    // ---- connections ----------------------------------------------------------------------------------

    /** Takes a connection, unless the table is full. The handshake's work is done beside the slots. */
    public boolean connect() {
        if (state == State.CRASHED || state == State.VANISHED) {
            return false;
        }
        int cap = world.scenario().links().maxConnections();
        if (cap > 0 && connections >= cap) {
            return false;
        }
        update();
        connections++;
        attainedWork -= running.isEmpty() ? 0 : world.scenario().links().handshakeWork() / running.size();
        if (!running.isEmpty()) {
            replan();
        }
        return true;
    }

    /** Whether the process of that life went without a word, so that its connections seem to be open. */
    public boolean vanishedIn(int ofIncarnation) {
        return vanishedIncarnations.contains(ofIncarnation);
    }

    public void disconnect(int ofIncarnation) {
        if (ofIncarnation == incarnation && connections > 0) {
            connections--;
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    /** A request's last byte has come. */
    public void offer(ClientAttempt request, int sidecar, ResponseHandler answer) {
        if (state == State.VANISHED) {
            return;
        }
        if (state == State.CRASHED) {
            answer.onReply(Reply.RESET, -1);
            return;
        }
        double work = request.work() * world.attemptNoise(request, number) * (1 - savedWorkShare(request));
        world.record(Type.RECEIVED, request, sidecar, number, work);
        update();
        if (exceedsColdCapacity(
                world.scenario().classes().get(request.requestClass()).work())) {
            collapse();
            answer.onReply(Reply.RESET, -1);
            return;
        }
        if (immediateErrorRate > 0 && random.nextDouble() < immediateErrorRate) {
            answer.onReply(Reply.ERROR, report());
            return;
        }
        boolean full = slotsTaken() >= slots && queue.size() >= maxQueued;
        if (full || state == State.DRAINING) {
            world.record(Type.REJECTED, request, sidecar, number, 0);
            answer.onReply(Reply.NEVER_RAN, report());
            return;
        }
        boolean keyed = world.scenario().classes().get(request.requestClass()).idempotency() == Idempotency.KEYED;
        Job job = new Job(request, work, answer, keyed && world.withinWindow(request, this));
        if (slotsTaken() < slots) {
            startJob(job);
        } else {
            queue.addLast(job);
        }
        updateOverload();
        replan();
    }

    private void startJob(Job job) {
        world.record(Type.STARTED, job.request, job.request.sidecar(), number, 0);
        if (world.poison(job.request)) { // a request that its server does not survive
            world.schedule(0, () -> world.crashByPoison(this));
        }
        job.doneAtWork = attainedWork + job.work;
        job.arrivalOrder = nextTurn++;
        running.add(job);
    }

    private int slotsTaken() {
        return running.size() + waitingOnOthers.size();
    }

    /** The part of the work that it is spared for a key that it met lately. */
    private double savedWorkShare(ClientAttempt request) {
        Scenario.Keys rules = world.scenario().subjects().keys();
        Double met = request.subjectKey() < 0 ? null : cachedKeys.get(request.subjectKey());
        if (request.subjectKey() >= 0) {
            cachedKeys.put(request.subjectKey(), world.now());
        }
        return met != null && world.now() - met <= rules.cacheMs() ? rules.savedWorkShare() : 0;
    }

    /** Its work is done; it may yet wait on others, on a slot and off the cores. */
    private void waitOrFinish(Job job) {
        double mean = world.scenario().classes().get(job.request.requestClass()).waitMs();
        if (mean <= 0) {
            finish(job);
            return;
        }
        waitingOnOthers.add(job);
        world.schedule(mean * waitTimes.getAsDouble(), () -> {
            if (waitingOnOthers.remove(job)) {
                update();
                finish(job);
                advance();
            }
        });
    }

    private void finish(Job job) {
        ClientAttempt r = job.request;
        boolean error = random.nextDouble() < errorRate[r.requestClass()];
        if (!error) {
            effect(r, job.isDeduplicated);
        }
        double fate = random.nextDouble();
        if (fate < lostAnswerRate) {
            return; // the effect took place, and nobody hears of it
        }
        job.handler.onReply(fate < lostAnswerRate + resetRate ? Reply.RESET : error ? Reply.ERROR : Reply.OK, report());
    }

    private void effect(ClientAttempt r, boolean known) {
        boolean first = !known || world.firstOfKey(r, this);
        world.record(first ? Type.EFFECT : Type.DEDUPLICATED, r, r.sidecar(), number, 0);
    }

    /** Late and noisy: what it held when the report was last refreshed. */
    private double report() {
        Scenario.Reports rules = world.scenario().reports();
        if (!rules.enabled()) {
            return -1;
        }
        if (world.now() - reportedAt >= rules.periodMs()) {
            reportedAt = world.now();
            reportedInFlight =
                    Math.max(0, Math.rint(requestsInFlight() * (1 + rules.noise() * (2 * random.nextDouble() - 1))));
        }
        return reportedInFlight;
    }

    // ---- speed ----------------------------------------------------------------------------------------

    private double warmth() {
        double age = world.now() - startedAt;
        return machine.warmUpMs() <= 0 || age >= machine.warmUpMs()
                ? 1
                : machine.coldSpeedFactor() + (1 - machine.coldSpeedFactor()) * Math.max(0, age) / machine.warmUpMs();
    }

    private double coreSpeed() {
        if (world.now() < pausedUntil) {
            return 0;
        }
        Scenario.ConnectionModel links = world.scenario().links();
        double tax = links.maxConnections() > 0
                ? links.fullTableSlowdown() * Math.min(1, (double) connections / links.maxConnections())
                : 0;
        return speed
                * warmth()
                / slowdown
                * (1 - neighbourShare)
                * (1 - tax)
                / (isSlowedDown() ? machine.overloadSlowdown().factor() : 1);
    }

    /** Moves attained service on to now, at the speed that held since it was last moved. */
    private void update() {
        double now = world.now();
        if (!running.isEmpty() && now > updatedAtMs) {
            double active = Math.min(running.size(), machine.cores());
            attainedWork += (now - updatedAtMs) * workRate;
            busyCoreMs += (now - updatedAtMs) * active;
        }
        updatedAtMs = now;
    }

    private void replan() {
        update();
        long mine = ++planNumber;
        if (running.isEmpty()) {
            return;
        }
        workRate = coreSpeed() * Math.min(1, (double) machine.cores() / running.size());
        double next = workRate <= 0
                ? Math.max(0.1, pausedUntil - world.now())
                : (running.peek().doneAtWork - attainedWork) / workRate;
        boolean cold = warmth() < 1;
        world.schedule(cold ? Math.min(next, COLD_STEP_MS) : next, () -> {
            if (mine == planNumber) {
                advance();
            }
        });
    }

    private void advance() {
        update();
        while (!running.isEmpty() && running.peek().doneAtWork - attainedWork <= DONE) {
            waitOrFinish(running.poll());
            if (state == State.CRASHED || state == State.VANISHED) {
                return;
            }
        }
        while (slotsTaken() < slots && !queue.isEmpty()) {
            startJob(queue.removeFirst());
        }
        updateOverload();
        replan();
    }

    private void nextPause() {
        double wait = -Math.log(1 - random.nextDouble()) * machine.pauseEveryMs();
        world.schedule(wait, () -> {
            pause(machine.pauseMs() * (0.5 + random.nextDouble()));
            nextPause();
        });
    }

    void pause(double ms) {
        update();
        pausedUntil = Math.max(pausedUntil, world.now() + ms);
        replan();
    }

    void slowBy(double factor) {
        update();
        slowdown = factor;
        replan();
    }

    /** A neighbour on its machine takes this share. */
    void setNeighbourShare(double share) {
        update();
        neighbourShare = share;
        replan();
    }

    // ---- crowding -------------------------------------------------------------------------------------

    private void updateOverload() {
        Scenario.OverloadSlowdown choke = machine.overloadSlowdown();
        if (choke.maxRequestsPerCore() <= 0) {
            return;
        }
        double now = world.now();
        double maxInFlight = choke.maxRequestsPerCore() * machine.cores();
        if (isSlowedDown()) {
            if (requestsInFlight() > choke.recoveryFactor() * maxInFlight) {
                recoveringSince = Double.NaN;
            } else if (Double.isNaN(recoveringSince)) {
                recoveringSince = now;
                checkOverloadAfter(choke.recoveryMs());
            } else if (now - recoveringSince >= choke.recoveryMs() - DONE) {
                endSlowdown();
            }
        } else if (requestsInFlight() <= maxInFlight) {
            overloadedSince = Double.NaN;
        } else if (Double.isNaN(overloadedSince)) {
            overloadedSince = now;
            checkOverloadAfter(choke.triggerMs());
        } else if (now - overloadedSince >= choke.triggerMs() - DONE) {
            update();
            slowedDownAt = now;
            overloadedSince = Double.NaN;
            int ofIncarnation = incarnation;
            world.schedule(choke.maxMs(), () -> {
                if (isSlowedDown()
                        && ofIncarnation == incarnation
                        && world.now() - slowedDownAt >= choke.maxMs() - DONE) {
                    endSlowdown();
                }
            });
            replan();
        }
    }

    private void checkOverloadAfter(double ms) {
        world.schedule(ms, this::updateOverload);
    }

    private void endSlowdown() {
        update();
        slowedDownAt = Double.NaN;
        recoveringSince = Double.NaN;
        replan();
    }

    /** Whether a cold server has now been sent more than it can bear, each request counted by its class's mean work. */
    private boolean exceedsColdCapacity(double work) {
        if (warmth() >= 1) {
            offeredWhileCold.clear();
            offeredWorkSum = 0;
            return false;
        }
        Scenario.Rules rules = world.scenario().rules();
        double now = world.now();
        offeredWhileCold.addLast(new OfferedWork(now, work));
        offeredWorkSum += work;
        while (offeredWhileCold.peekFirst().at() < now - rules.collapseWindowMs()) {
            offeredWorkSum -= offeredWhileCold.removeFirst().work();
        }
        double bears = rules.collapseFactor() * warmth() * fullCapacity() * rules.collapseWindowMs();
        return offeredWorkSum > World.withChance(bears, world.scenario().meanWork());
    }

    // ---- life and death -------------------------------------------------------------------------------

    /** Its process dies: connections are reset and new ones refused. */
    void crash() {
        if (state == State.CRASHED) {
            return;
        }
        boolean silent = state == State.VANISHED;
        state = State.CRASHED;
        world.record(Type.SERVER_DOWN, null, -1, number, 0);
        dropRequests(!silent);
    }

    /** Its machine vanishes: nobody hears anything. */
    void vanish() {
        state = State.VANISHED;
        vanishedIncarnations.add(incarnation);
        world.record(Type.SERVER_DOWN, null, -1, number, 1);
        dropRequests(false);
    }

    private void collapse() {
        world.record(Type.SERVER_COLLAPSED, null, -1, number, offeredWorkSum);
        crash();
        world.serverDied(this);
    }

    private void dropRequests(boolean notifyClients) {
        update();
        planNumber++;
        List<Job> lost = new ArrayList<>(running);
        lost.sort(null);
        lost.addAll(queue);
        waitingOnOthers.stream().sorted().forEach(lost::add);
        running.clear();
        waitingOnOthers.clear();
        cachedKeys.clear();
        immediateErrorRate = 0;
        queue.clear();
        offeredWhileCold.clear();
        offeredWorkSum = 0;
        connections = 0;
        incarnation++;
        slowdown = 1;
        neighbourShare = 0;
        slowedDownAt = Double.NaN;
        overloadedSince = Double.NaN;
        recoveringSince = Double.NaN;
        if (notifyClients) {
            lost.forEach(j -> j.handler.onReply(Reply.RESET, -1));
        }
    }

    void start() {
        state = State.UP;
        startedAt = world.now();
        updatedAtMs = world.now();
        pausedUntil = 0;
        world.record(Type.SERVER_STARTED, null, -1, number, fullCapacity());
    }

    void drain() {
        state = State.DRAINING;
    }
}
