package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Control sidecars, each a voter and a candidate, in simulated time: messages are lost, late and doubled, links are
 * cut, processes are frozen, killed and started again, disks are late, refuse writes or are wiped, clocks differ. The
 * set of voters changes as the register changes it: a joint set is accepted by majorities of both, then the new one by
 * a majority of its own, one after the other within milliseconds, and whoever was not asked learns of it late. After
 * every event the holders are counted, each by its own clock; every number won must be above all won before.
 */
final class LeaseSimulation {
    static final double LEASE_MS = 3_000;
    static final String DUTY = "list";
    private static final double MAX_DRIFT = 0.005;
    private static final double PROPOSE_AGAIN_MS = 300;

    /** A lease, and how long a message and a synced write take at the most. */
    record Times(double leaseMs, double delayMs, double diskMs) {}

    /** Far slower than the sites' machines are, next to the lease, so that much crosses. */
    static final Times SLOW = new Times(LEASE_MS, 41, 10);

    /** Something that happens at a time. */
    private record Event(double at, long order, Runnable action) {}

    private final Random random;
    private final Times times;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final Map<String, Sidecar> sidecars = new HashMap<>();
    private final Set<String> cuts = new TreeSet<>();
    private final Set<AcceptorId> acceptedBy = new HashSet<>();
    private AcceptorSet chosen;
    /** Proposed and not chosen yet; null where nothing is under way. */
    private AcceptorSet proposed;

    private long proposal;

    private long order;
    private double now;
    private long highestWon;
    private double loss;
    private double slow;
    private double doubled;
    private int wins;

    LeaseSimulation(Random random, int count) {
        this(random, count, SLOW);
    }

    LeaseSimulation(Random random, int count, Times times) {
        this.random = random;
        this.times = times;
        List<AcceptorId> members = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            members.add(add().self());
        }
        chosen = AcceptorSet.of(members);
        for (Sidecar sidecar : all()) {
            sidecar.learn(chosen);
            at(now + random.nextDouble() * 300, () -> sidecar.start(0));
        }
    }

    private Sidecar add() {
        Sidecar sidecar = new Sidecar("n" + sidecars.size());
        sidecars.put(sidecar.name, sidecar);
        return sidecar;
    }

    /** A sidecar with an empty disk that is no voter yet, and started after all others may have voted. */
    Sidecar spare() {
        Sidecar spare = add();
        spare.start(times.leaseMs());
        return spare;
    }

    /** The part of messages that is lost, that is seconds late, and that comes twice. */
    void trouble(double lost, double late, double twice) {
        loss = lost;
        slow = late;
        doubled = twice;
    }

    int wins() {
        return wins;
    }

    double now() {
        return now;
    }

    /** The sidecars at the addresses of the newest chosen set. */
    List<Sidecar> all() {
        return chosen.all().stream()
                .map(voter -> sidecars.get(voter.address()))
                .distinct()
                .toList();
    }

    /** All sidecars that there ever were. */
    List<Sidecar> everyone() {
        return sidecars.values().stream()
                .sorted(Comparator.comparing(Sidecar::name))
                .toList();
    }

    /** What stands at the address of this member now. */
    AcceptorId identityAt(AcceptorId member) {
        return sidecars.get(member.address()).self();
    }

    boolean isChanging() {
        return proposed != null || chosen.isJoint();
    }

    /** Members whose disk was wiped: nobody there can vote. */
    List<AcceptorId> wipedMembers() {
        return chosen.members().stream()
                .filter(voter -> !sidecars.get(voter.address()).self().equals(voter))
                .toList();
    }

    /** Whether the sidecar may lose its disk with a majority left in each set that counts. */
    boolean mayWipe(Sidecar sidecar) {
        return mayWipe(sidecar, chosen.members())
                && mayWipe(sidecar, chosen.joining())
                && (proposed == null || mayWipe(sidecar, proposed.members()) && mayWipe(sidecar, proposed.joining()));
    }

    private boolean mayWipe(Sidecar sidecar, List<AcceptorId> part) {
        long left = part.stream()
                .filter(voter -> !voter.address().equals(sidecar.name)
                        && sidecars.get(voter.address()).self().equals(voter))
                .count();
        return part.isEmpty() || left > part.size() / 2;
    }

    /** Begins to replace one member; the identity that stands there now, where it was wiped. */
    void replace(AcceptorId member, AcceptorId by) {
        List<AcceptorId> wanted = new ArrayList<>(chosen.members());
        wanted.set(wanted.indexOf(member), by);
        change(wanted);
    }

    /** Changes the set in a way that is drawn: one out, one in, one for another, or growth by two. */
    void changeVoters() {
        List<AcceptorId> wanted = new ArrayList<>(chosen.members());
        int kind = random.nextInt(4);
        if (kind == 0 && wanted.size() > 1) {
            wanted.remove(random.nextInt(wanted.size()));
        } else if (kind == 1) {
            wanted.set(random.nextInt(wanted.size()), spare().self());
        } else if (wanted.size() < 7) {
            wanted.add(spare().self());
            if (kind == 2) {
                wanted.add(spare().self());
            }
        }
        change(wanted);
    }

    void change(List<AcceptorId> wanted) {
        long present =
                wanted.stream().filter(voter -> identityAt(voter).equals(voter)).count();
        if (!isChanging() && !chosen.consistsOf(wanted) && 2 * present > wanted.size()) {
            propose(new AcceptorSet(chosen.generation() + 1, chosen.members(), wanted));
        }
    }

    private void propose(AcceptorSet next) {
        proposed = next;
        proposal++;
        acceptedBy.clear();
        proposeAgain(proposal);
    }

    /** Some sidecar that is up proposes; another one goes on with it where that one ends or is cut off. */
    private void proposeAgain(long number) {
        if (number != proposal || proposed == null) {
            return;
        }
        List<Sidecar> up = everyone().stream().filter(Sidecar::isUp).toList();
        if (!up.isEmpty()) {
            Sidecar proposer = up.get(random.nextInt(up.size()));
            for (AcceptorId acceptor : proposed.all()) {
                Sidecar target = sidecars.get(acceptor.address());
                deliver(proposer.name, target.name, () -> target.accept(number, acceptor, proposer));
            }
        }
        at(now + PROPOSE_AGAIN_MS, () -> proposeAgain(number));
    }

    private void accepted(long number, AcceptorId by, Sidecar proposer) {
        if (number != proposal || proposed == null) {
            return;
        }
        acceptedBy.add(by);
        if (proposed.isQuorum(acceptedBy)) {
            chosen = proposed;
            proposed = null;
            proposer.learn(chosen);
            tell(chosen);
            if (chosen.isJoint()) {
                propose(new AcceptorSet(chosen.generation() + 1, chosen.joining(), List.of()));
            }
        }
    }

    private void tell(AcceptorSet set) {
        for (Sidecar sidecar : everyone()) {
            double lag = random.nextInt(4) == 0 ? random.nextDouble() * 3 * times.leaseMs() : delay();
            at(now + lag, () -> sidecar.run(sidecar.life, () -> sidecar.learn(set)));
            at(now + 4 * times.leaseMs(), () -> sidecar.learn(set));
        }
    }

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void healAll() {
        cuts.clear();
        trouble(0, 0, 0);
    }

    /** The one that holds, by its own clock; null where none does. */
    Sidecar holder() {
        Sidecar holder = null;
        for (Sidecar sidecar : sidecars.values()) {
            if (sidecar.holds()) {
                if (holder != null) {
                    throw new AssertionError("two holders at " + now + ": " + holder.life + ", " + sidecar.life);
                }
                holder = sidecar;
            }
        }
        return holder;
    }

    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            step();
        }
        now = Math.max(now, end);
    }

    /** Runs until a duty is held by one that is not the excluded one; the time this took. */
    double runUntilHeld(Sidecar excluded, double boundMs) {
        double start = now;
        while (now < start + boundMs && !events.isEmpty()) {
            Sidecar holder = holder();
            if (holder != null && holder != excluded) {
                return now - start;
            }
            step();
        }
        throw new AssertionError("vacant for longer than " + boundMs + " ms since " + start);
    }

    private void step() {
        Event event = events.poll();
        now = Math.max(now, event.at());
        event.action().run();
        holder();
    }

    void at(double time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private void deliver(String from, String to, Runnable action) {
        if (from.equals(to)) {
            at(now, action);
            return;
        }
        if (cuts.contains(from + ">" + to) || random.nextDouble() < loss) {
            return;
        }
        at(now + delay(), action);
        if (random.nextDouble() < doubled) {
            at(now + delay(), action);
        }
    }

    private double delay() {
        return random.nextDouble() < slow
                ? random.nextDouble() * 2 * times.leaseMs()
                : times.delayMs() * (1 + 40 * random.nextDouble()) / 41;
    }

    /** A control sidecar: its disk outlives its processes. */
    final class Sidecar {
        private final String name;
        private final double rate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final double offset = random.nextDouble() * 1e6;
        private final Map<String, Long> disk = new HashMap<>();
        private final List<Runnable> held = new ArrayList<>();
        private double diskDoneAt;
        private AcceptorSet known = AcceptorSet.of(List.of());
        private long acceptedGeneration;
        private int disks = 1;
        private boolean diskFails;
        private int lives;
        private String life;
        private boolean frozen;
        private LeaseVoter voter;
        private Candidate candidate;

        private Sidecar(String name) {
            this.name = name;
        }

        String name() {
            return name;
        }

        /** The address and the identity of the disk that is there now. */
        AcceptorId self() {
            return new AcceptorId(name, name + "#" + disks);
        }

        boolean isUp() {
            return voter != null;
        }

        boolean holds() {
            return isUp() && candidate.isLeaseHolder(clock());
        }

        long number() {
            return candidate.fencingToken();
        }

        double clock() {
            return offset + now * rate;
        }

        void start(double silenceMs) {
            if (isUp()) {
                return;
            }
            lives++;
            life = name + "/" + lives;
            voter = new LeaseVoter(self().identity(), times.leaseMs(), clock() + silenceMs, disk);
            candidate = new Candidate(DUTY, life, LeaseTiming.ofLease(times.leaseMs()), random::nextDouble, clock());
            tell();
            schedule();
        }

        /** A chosen set is on disk before anything else is done with it. */
        private void learn(AcceptorSet set) {
            if (known.all().isEmpty() || set.generation() > known.generation()) {
                known = set;
                tell();
            }
        }

        /** The acceptance is on disk before it is told. */
        private void accept(long number, AcceptorId as, Sidecar proposer) {
            run(life, () -> {
                if (number == proposal && proposed != null && as.equals(self())) {
                    acceptedGeneration = proposed.generation();
                    tell();
                    deliver(name, proposer.name, () -> accepted(number, as, proposer));
                }
            });
        }

        private void tell() {
            if (isUp()) {
                voter.updateVoterSet(clock(), known.generation(), acceptedGeneration);
                candidate.updateVoterSet(clock(), known);
            }
        }

        /** Ends it and takes its disk: what is there afterwards has another identity and knows nothing. */
        void wipe() {
            kill();
            disks++;
            disk.clear();
            known = AcceptorSet.of(List.of());
            acceptedGeneration = 0;
        }

        void diskFails(boolean fails) {
            diskFails = fails;
        }

        void pause(double pauseMs) {
            run(life, () -> candidate.stepDown(clock(), pauseMs, new Candidacy()));
        }

        void kill() {
            voter = null;
            candidate = null;
            frozen = false;
            held.clear();
        }

        void freeze() {
            frozen = isUp();
        }

        void thaw() {
            frozen = false;
            List<Runnable> due = new ArrayList<>(held);
            held.clear();
            due.forEach(Runnable::run);
        }

        void release() {
            run(life, () -> candidate.shutDown(clock(), new Candidacy()));
        }

        /** Runs an action of a life of this sidecar: later where it is frozen, never where that life is over. */
        private void run(String ofLife, Runnable action) {
            if (!isUp() || !life.equals(ofLife)) {
                return;
            }
            if (frozen) {
                held.add(() -> run(ofLife, action));
            } else {
                action.run();
                schedule();
            }
        }

        private void schedule() {
            String ofLife = life;
            double wakeAt = candidate.nextTickAtMs();
            if (wakeAt < Double.POSITIVE_INFINITY) {
                double time = Math.max(now, (wakeAt - offset) / rate) + random.nextDouble();
                at(time, () -> wake(ofLife, wakeAt));
            }
        }

        private void wake(String ofLife, double wakeAt) {
            run(ofLife, () -> {
                if (candidate.nextTickAtMs() == wakeAt) {
                    candidate.tick(clock(), new Candidacy());
                }
            });
        }

        private void take(VoteRequest request, Sidecar from, String fromLife) {
            run(life, () -> voter.onVoteRequest(clock(), request, new Votes(from, fromLife)));
        }

        /** Sends what the candidate asks for. */
        private final class Candidacy implements Candidate.Effects {
            @Override
            public void send(AcceptorId to, VoteRequest request) {
                String fromLife = life;
                Sidecar target = sidecars.get(to.address());
                deliver(name, to.address(), () -> target.take(request, Sidecar.this, fromLife));
            }

            @Override
            public void leaseAcquired(String duty, long fencingToken) {
                if (fencingToken <= highestWon) {
                    throw new AssertionError(life + " won " + fencingToken + " after " + highestWon + " at " + now);
                }
                highestWon = fencingToken;
                wins++;
            }

            @Override
            public void leaseLost(String duty, long fencingToken) {
                if (candidate.isLeaseHolder(clock())) {
                    throw new AssertionError(life + " lost " + fencingToken + " and holds it");
                }
            }
        }

        /** Sends what the voter answers. */
        private final class Votes implements LeaseVoter.Effects {
            private final Sidecar to;
            private final String toLife;

            private Votes(Sidecar to, String toLife) {
                this.to = to;
                this.toLife = toLife;
            }

            @Override
            public void persistToken(VoteRequest request, VoteReply reply) {
                String ofLife = life;
                diskDoneAt = Math.max(diskDoneAt, now) + random.nextDouble() * times.diskMs();
                at(diskDoneAt, () -> run(ofLife, () -> persisted(request, reply)));
            }

            private void persisted(VoteRequest request, VoteReply reply) {
                boolean torn = diskFails && random.nextBoolean();
                if (!diskFails || torn) {
                    if (reply.highestToken() < disk.getOrDefault(request.duty(), 0L)) {
                        throw new AssertionError(name + " fell back to " + reply.highestToken());
                    }
                    disk.put(request.duty(), reply.highestToken());
                }
                if (diskFails) {
                    voter.onPersistFailed(clock(), request, this);
                } else {
                    voter.onTokenPersisted(request);
                    send(reply);
                }
            }

            @Override
            public void send(VoteReply reply) {
                deliver(
                        name,
                        to.name,
                        () -> to.run(toLife, () -> to.candidate.onVoteReply(to.clock(), reply, to.new Candidacy())));
            }

            @Override
            public void leaseReleased(String duty) {
                candidate.onLeaseReleased(clock());
            }
        }
    }
}
