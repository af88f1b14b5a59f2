package dewplank.emulator;

import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.Note.What;
import dewplank.emulator.Scenario.Machine;
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
 * <p>Attained service V is the work done for each request in a slot so far; a request that came at V with work w is done
 * at V + w (Kleinrock, Queueing Systems II, 4.4). So one number moves, however many requests there are.
 */
public final class Server {
    /** How an offer of work ended. A lost answer and a silent machine call nobody. */
    public enum Reply {
        OK,
        ERROR,
        NEVER_RAN,
        RESET
    }

    public interface Answer {
        /** {@code inFlight}: the load report, or -1. */
        void done(Reply reply, double inFlight);
    }

    public enum State {
        UP,
        DRAINING,
        DEAD,
        SILENT
    }

    private static final double COLD_STEP_MS = 50;
    private static final double DONE = 1e-6;

    /** One request at the server. */
    private static final class Job implements Comparable<Job> {
        final Try request;
        final double work;
        final Answer answer;
        final boolean known;
        double doneAt;
        long turn;

        /** {@code known}: of a keyed one, whether its repeats are recognised. */
        Job(Try request, double work, Answer answer, boolean known) {
            this.request = request;
            this.known = known;
            this.work = work;
            this.answer = answer;
        }

        @Override
        public int compareTo(Job other) {
            int byWork = Double.compare(doneAt, other.doneAt);
            return byWork != 0 ? byWork : Long.compare(turn, other.turn);
        }
    }

    private record Push(double at, double work) {}

    public final int number;
    public final String id;
    public final String zone;
    public final int cell;
    public final Machine machine;
    private final World world;
    private final double speed;
    private final UniformRandomProvider random;
    private final int slots;
    private final int queueMost;
    private final PriorityQueue<Job> running = new PriorityQueue<>();
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<Push> pushes = new ArrayDeque<>();
    private double pushed;
    private State state = State.UP;
    private int life;
    private final Set<Integer> silentLives = new HashSet<>();
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double attained;
    private double updated;
    private double rate;
    private long turns;
    private long plan;
    private int connections;
    private double slower = 1;
    private double taken;
    private double pausedUntil;
    private double crowdedSince = Double.NaN;
    private double restingSince = Double.NaN;
    private double chokedAt = Double.NaN;
    private double reported;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double busy;
    /** Faults that the server answers with; parts of its requests, by class. */
    final double[] errorRate;

    double lostAnswers;
    double resets;
    /** The part of requests that it answers with an error at once, without working on them. */
    double quickErrors;

    private final LinkedHashMap<Integer, Double> keysMet;
    private final Set<Job> waiting = new HashSet<>();
    private final DoubleSupplier waits;

    Server(World world, int number, Machine machine, String zone, double speed) {
        this.world = world;
        this.number = number;
        this.id = "s-" + Long.toHexString(Draws.mix(number) >>> 32);
        this.machine = machine;
        this.zone = zone;
        this.cell = number / world.scenario.servers().cellSize();
        this.speed = speed;
        this.random = world.draws.stream("server", number);
        this.slots = (int) Math.max(1, Math.round(machine.cores() * machine.slotsPerCore()));
        this.queueMost = (int) Math.round(machine.cores() * machine.queuePerCore());
        this.errorRate = new double[world.scenario.classes().size()];
        Arrays.fill(errorRate, machine.errorRate());
        int keysMost = (int)
                Math.max(1, machine.cores() * world.scenario.subjects().keys().perCore());
        this.keysMet = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Double> eldest) {
                return size() > keysMost;
            }
        };
        this.waits = Draws.exponential(world.draws.stream("waits", number));
        if (machine.pauseEveryMs() > 0 && machine.pauseMs() > 0) {
            nextPause();
        }
    }

    // ---- what the oracle and the tests may look at ----------------------------------------------------

    public State state() {
        return state;
    }

    public int life() {
        return life;
    }

    /** Requests that it holds. */
    public int held() {
        return running.size() + waiting.size() + queue.size();
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
        return state == State.DEAD || state == State.SILENT ? 0 : machine.cores() * coreSpeed();
    }

    /** Work that it holds and has not done. */
    public double backlog() {
        double reached = attained + (world.now() - updated) * rate;
        double sum = 0;
        for (Job j : running) {
            sum += Math.max(0, j.doneAt - reached);
        }
        for (Job j : queue) {
            sum += j.work;
        }
        return sum;
    }

    /**
     * How long a request of that work would take that comes now, by the true state: the cores shared with what is held and
     * with as many more of the mean as are {@code coming}, and no sooner than the backlog lets it. Infinite where it can't.
     */
    public double expectedMs(double work, int coming) {
        double capacity = capacity();
        if (capacity <= 0 || state != State.UP) {
            return Double.POSITIVE_INFINITY;
        }
        double crowd = Math.max(1, (double) (held() + coming + 1) / machine.cores());
        double mean = world.scenario.meanWork();
        return Math.max(work * machine.cores() / capacity * crowd, (backlog() + coming * mean + work) / capacity);
    }

    public double startedAt() {
        return startedAt;
    }

    /** Core-milliseconds spent so far. */
    public double busyMs() {
        return busy + (world.now() - updated) * Math.min(running.size(), machine.cores());
    }

    public boolean choked() {
        return !Double.isNaN(chokedAt);
    }

    // ---- connections ----------------------------------------------------------------------------------

    /** Takes a connection, unless the table is full. The handshake's work is done beside the slots. */
    public boolean connect() {
        if (state == State.DEAD || state == State.SILENT) {
            return false;
        }
        int cap = world.scenario.links().cap();
        if (cap > 0 && connections >= cap) {
            return false;
        }
        update();
        connections++;
        attained -= running.isEmpty() ? 0 : world.scenario.links().handshakeWork() / running.size();
        if (!running.isEmpty()) {
            replan();
        }
        return true;
    }

    /** Whether the process of that life went without a word, so that its connections seem to be open. */
    public boolean wentSilently(int itsLife) {
        return silentLives.contains(itsLife);
    }

    public void disconnect(int itsLife) {
        if (itsLife == life && connections > 0) {
            connections--;
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    /** A request's last byte has come. */
    public void offer(Try request, int sidecar, Answer answer) {
        if (state == State.SILENT) {
            return;
        }
        if (state == State.DEAD) {
            answer.done(Reply.RESET, -1);
            return;
        }
        double work = request.work * world.attemptNoise(request, number) * (1 - spared(request));
        world.note(What.RECEIVED, request, sidecar, number, work);
        update();
        if (push(world.scenario.classes().get(request.kind).work())) {
            fall();
            answer.done(Reply.RESET, -1);
            return;
        }
        if (quickErrors > 0 && random.nextDouble() < quickErrors) {
            answer.done(Reply.ERROR, report());
            return;
        }
        boolean full = slotsTaken() >= slots && queue.size() >= queueMost;
        if (full || state == State.DRAINING) {
            world.note(What.TURNED_AWAY, request, sidecar, number, 0);
            answer.done(Reply.NEVER_RAN, report());
            return;
        }
        boolean keyed = world.scenario.classes().get(request.kind).effect() == Idempotency.KEYED;
        Job job = new Job(request, work, answer, keyed && world.withinWindow(request, this));
        if (slotsTaken() < slots) {
            begin(job);
        } else {
            queue.addLast(job);
        }
        crowding();
        replan();
    }

    private void begin(Job job) {
        world.note(What.BEGUN, job.request, job.request.sidecar, number, 0);
        if (world.poison(job.request)) { // a request that its server does not survive
            world.later(0, () -> world.crashByPoison(this));
        }
        job.doneAt = attained + job.work;
        job.turn = turns++;
        running.add(job);
    }

    private int slotsTaken() {
        return running.size() + waiting.size();
    }

    /** The part of the work that it is spared for a key that it met lately. */
    private double spared(Try request) {
        Scenario.Keys rules = world.scenario.subjects().keys();
        Double met = request.about < 0 ? null : keysMet.get(request.about);
        if (request.about >= 0) {
            keysMet.put(request.about, world.now());
        }
        return met != null && world.now() - met <= rules.freshMs() ? rules.gain() : 0;
    }

    /** Its work is done; it may yet wait on others, on a slot and off the cores. */
    private void waitOrFinish(Job job) {
        double mean = world.scenario.classes().get(job.request.kind).waitMs();
        if (mean <= 0) {
            finish(job);
            return;
        }
        waiting.add(job);
        world.later(mean * waits.getAsDouble(), () -> {
            if (waiting.remove(job)) {
                update();
                finish(job);
                advance();
            }
        });
    }

    private void finish(Job job) {
        Try r = job.request;
        boolean error = random.nextDouble() < errorRate[r.kind];
        if (!error) {
            effect(r, job.known);
        }
        double fate = random.nextDouble();
        if (fate < lostAnswers) {
            return; // the effect took place, and nobody hears of it
        }
        job.answer.done(fate < lostAnswers + resets ? Reply.RESET : error ? Reply.ERROR : Reply.OK, report());
    }

    private void effect(Try r, boolean known) {
        boolean first = !known || world.firstOfKey(r, this);
        world.note(first ? What.EFFECT : What.DROPPED, r, r.sidecar, number, 0);
    }

    /** Late and noisy: what it held when the report was last refreshed. */
    private double report() {
        Scenario.Reports rules = world.scenario.reports();
        if (!rules.given()) {
            return -1;
        }
        if (world.now() - reportedAt >= rules.periodMs()) {
            reportedAt = world.now();
            reported = Math.max(0, Math.rint(held() * (1 + rules.noise() * (2 * random.nextDouble() - 1))));
        }
        return reported;
    }

    // ---- speed ----------------------------------------------------------------------------------------

    private double warmth() {
        double age = world.now() - startedAt;
        return machine.coldMs() <= 0 || age >= machine.coldMs()
                ? 1
                : machine.coldShare() + (1 - machine.coldShare()) * Math.max(0, age) / machine.coldMs();
    }

    private double coreSpeed() {
        if (world.now() < pausedUntil) {
            return 0;
        }
        Scenario.Links links = world.scenario.links();
        double tax = links.cap() > 0 ? links.fullTax() * Math.min(1, (double) connections / links.cap()) : 0;
        return speed
                * warmth()
                / slower
                * (1 - taken)
                * (1 - tax)
                / (choked() ? machine.choke().slower() : 1);
    }

    /** Moves attained service on to now, at the speed that held since it was last moved. */
    private void update() {
        double now = world.now();
        if (!running.isEmpty() && now > updated) {
            double active = Math.min(running.size(), machine.cores());
            attained += (now - updated) * rate;
            busy += (now - updated) * active;
        }
        updated = now;
    }

    private void replan() {
        update();
        long mine = ++plan;
        if (running.isEmpty()) {
            return;
        }
        rate = coreSpeed() * Math.min(1, (double) machine.cores() / running.size());
        double next = rate <= 0 ? Math.max(0.1, pausedUntil - world.now()) : (running.peek().doneAt - attained) / rate;
        boolean cold = warmth() < 1;
        world.later(cold ? Math.min(next, COLD_STEP_MS) : next, () -> {
            if (mine == plan) {
                advance();
            }
        });
    }

    private void advance() {
        update();
        while (!running.isEmpty() && running.peek().doneAt - attained <= DONE) {
            waitOrFinish(running.poll());
            if (state == State.DEAD || state == State.SILENT) {
                return;
            }
        }
        while (slotsTaken() < slots && !queue.isEmpty()) {
            begin(queue.removeFirst());
        }
        crowding();
        replan();
    }

    private void nextPause() {
        double wait = -Math.log(1 - random.nextDouble()) * machine.pauseEveryMs();
        world.later(wait, () -> {
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
        slower = factor;
        replan();
    }

    /** A neighbour on its machine takes this share. */
    void take(double share) {
        update();
        taken = share;
        replan();
    }

    // ---- crowding -------------------------------------------------------------------------------------

    private void crowding() {
        Scenario.Choke choke = machine.choke();
        if (choke.at() <= 0) {
            return;
        }
        double now = world.now();
        double most = choke.at() * machine.cores();
        if (choked()) {
            if (held() > choke.below() * most) {
                restingSince = Double.NaN;
            } else if (Double.isNaN(restingSince)) {
                restingSince = now;
                look(choke.restMs());
            } else if (now - restingSince >= choke.restMs() - DONE) {
                unchoke();
            }
        } else if (held() <= most) {
            crowdedSince = Double.NaN;
        } else if (Double.isNaN(crowdedSince)) {
            crowdedSince = now;
            look(choke.overMs());
        } else if (now - crowdedSince >= choke.overMs() - DONE) {
            update();
            chokedAt = now;
            crowdedSince = Double.NaN;
            int itsLife = life;
            world.later(choke.mostMs(), () -> {
                if (choked() && itsLife == life && world.now() - chokedAt >= choke.mostMs() - DONE) {
                    unchoke();
                }
            });
            replan();
        }
    }

    private void look(double ms) {
        world.later(ms, this::crowding);
    }

    private void unchoke() {
        update();
        chokedAt = Double.NaN;
        restingSince = Double.NaN;
        replan();
    }

    /** Whether a cold server has now been sent more than it can bear, each request counted by its class's mean work. */
    private boolean push(double work) {
        if (warmth() >= 1) {
            pushes.clear();
            pushed = 0;
            return false;
        }
        Scenario.Rules rules = world.scenario.rules();
        double now = world.now();
        pushes.addLast(new Push(now, work));
        pushed += work;
        while (pushes.peekFirst().at() < now - rules.fallMs()) {
            pushed -= pushes.removeFirst().work();
        }
        double bears = rules.fallMultiple() * warmth() * fullCapacity() * rules.fallMs();
        return pushed > World.withChance(bears, world.scenario.meanWork());
    }

    // ---- life and death -------------------------------------------------------------------------------

    /** Its process dies: connections are reset and new ones refused. */
    void die() {
        if (state == State.DEAD) {
            return;
        }
        boolean silent = state == State.SILENT;
        state = State.DEAD;
        world.note(What.SERVER_DOWN, null, -1, number, 0);
        drop(!silent);
    }

    /** Its machine vanishes: nobody hears anything. */
    void vanish() {
        state = State.SILENT;
        silentLives.add(life);
        world.note(What.SERVER_DOWN, null, -1, number, 1);
        drop(false);
    }

    private void fall() {
        world.note(What.SERVER_FELL, null, -1, number, pushed);
        die();
        world.serverDied(this);
    }

    private void drop(boolean told) {
        update();
        plan++;
        List<Job> lost = new ArrayList<>(running);
        lost.sort(null);
        lost.addAll(queue);
        waiting.stream().sorted().forEach(lost::add);
        running.clear();
        waiting.clear();
        keysMet.clear();
        quickErrors = 0;
        queue.clear();
        pushes.clear();
        pushed = 0;
        connections = 0;
        life++;
        slower = 1;
        taken = 0;
        chokedAt = Double.NaN;
        crowdedSince = Double.NaN;
        restingSince = Double.NaN;
        if (told) {
            lost.forEach(j -> j.answer.done(Reply.RESET, -1));
        }
    }

    void start() {
        state = State.UP;
        startedAt = world.now();
        updated = world.now();
        pausedUntil = 0;
        world.note(What.SERVER_STARTED, null, -1, number, fullCapacity());
    }

    void drain() {
        state = State.DRAINING;
    }
}
