package dewplank.duty;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Control sidecars, each a voter and a candidate, in simulated time: messages are lost, late and doubled, links are
 * cut, processes are frozen, killed and started again, disks are late, clocks differ. After every event the holders are
 * counted, each by its own clock.
 */
final class DutySimulation {
    static final double LEASE_MS = 3_000;
    static final String DUTY = "list";
    private static final double MAX_DRIFT = 0.005;
    private static final double DISK_MS = 10;

    /** Something that happens at a time. */
    private record Event(double at, long order, Runnable action) { }

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final Map<String, Sidecar> sidecars = new HashMap<>();
    private final Set<String> cuts = new TreeSet<>();
    private List<String> voters = new ArrayList<>();

    private long order;
    private double now;
    private long highestWon;
    private double loss;
    private double slow;
    private double doubled;
    private int wins;
    private long votersVersion = 1;
    private double votersChangedAt = Double.NEGATIVE_INFINITY;

    DutySimulation(Random random, int count) {
        this.random = random;
        for (int index = 0; index < count; index++) {
            voters.add("n" + index);
        }
        for (String name : voters) {
            Sidecar sidecar = new Sidecar(name);
            sidecars.put(name, sidecar);
            sidecar.learn(votersVersion, voters);
            at(now + random.nextDouble() * 300, () -> sidecar.start(0));
        }
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

    /** The sidecars that are voters by the newest list. */
    List<Sidecar> all() {
        return voters.stream().map(sidecars::get).toList();
    }

    /** Takes one voter in or out, as often as the list may change: a majority of the list before knows at once. */
    void changeVoters() {
        if (now < votersChangedAt + 2 * LEASE_MS * (1 + 2 * MAX_DRIFT)) {
            return;
        }
        List<Sidecar> before = new ArrayList<>(all());
        Collections.shuffle(before, random);
        List<String> next = new ArrayList<>(voters);
        Sidecar joining = null;
        if (next.size() > 1 && random.nextBoolean()) {
            next.remove(random.nextInt(next.size()));
        } else {
            joining = new Sidecar("n" + sidecars.size());
            sidecars.put(joining.name, joining);
            next.add(joining.name);
        }
        voters = next;
        votersVersion++;
        votersChangedAt = now;
        tell(before, joining);
    }

    private void tell(List<Sidecar> before, Sidecar joining) {
        long version = votersVersion;
        List<String> names = voters;
        if (joining != null) {
            joining.learn(version, names);
            joining.start(LEASE_MS);
        }
        int told = 0;
        for (Sidecar sidecar : before) {
            double lag = told++ < before.size() / 2 + 1 ? 0 : random.nextDouble() * 3 * LEASE_MS;
            at(now + lag, () -> sidecar.learn(version, names));
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
        return random.nextDouble() < slow ? random.nextDouble() * 2 * LEASE_MS : 1 + random.nextDouble() * 40;
    }

    /** A control sidecar: its disk outlives its processes. */
    final class Sidecar {
        private final String name;
        private final double rate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final double offset = random.nextDouble() * 1e6;
        private final Map<String, Long> disk = new HashMap<>();
        private final List<Runnable> held = new ArrayList<>();
        private double diskDoneAt;
        private List<String> knownVoters = List.of();
        private long knownVersion;
        private int lives;
        private String life;
        private boolean frozen;
        private Voter voter;
        private Candidate candidate;

        private Sidecar(String name) {
            this.name = name;
        }

        String name() {
            return name;
        }

        boolean isUp() {
            return voter != null;
        }

        boolean holds() {
            return isUp() && candidate.holds(clock());
        }

        long number() {
            return candidate.fencingNumber();
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
            voter = new Voter(name, LEASE_MS, clock() + silenceMs, disk);
            candidate = new Candidate(DUTY, life, DutyTiming.ofLease(LEASE_MS), random::nextDouble, clock());
            voter.voters(knownVersion);
            candidate.voters(knownVersion, knownVoters);
            schedule();
        }

        /** The list is on disk before anything else is done with it. */
        private void learn(long version, List<String> names) {
            if (version > knownVersion) {
                knownVersion = version;
                knownVoters = List.copyOf(names);
            }
            if (isUp()) {
                voter.voters(knownVersion);
                candidate.voters(knownVersion, knownVoters);
            }
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
            run(life, () -> candidate.release(clock(), new Candidacy()));
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
            double wakeAt = candidate.wakeAt();
            if (wakeAt < Double.POSITIVE_INFINITY) {
                double time = Math.max(now, (wakeAt - offset) / rate) + random.nextDouble();
                at(time, () -> wake(ofLife, wakeAt));
            }
        }

        private void wake(String ofLife, double wakeAt) {
            run(ofLife, () -> {
                if (candidate.wakeAt() == wakeAt) {
                    candidate.tick(clock(), new Candidacy());
                }
            });
        }

        private void take(VoteRequest request, Sidecar from, String fromLife) {
            run(life, () -> voter.vote(clock(), request, new Votes(from, fromLife)));
        }

        /** Sends what the candidate asks for. */
        private final class Candidacy implements CandidateOutput {
            @Override
            public void send(String to, VoteRequest request) {
                String fromLife = life;
                Sidecar target = sidecars.get(to);
                deliver(name, to, () -> target.take(request, Sidecar.this, fromLife));
            }

            @Override
            public void won(String duty, long number) {
                if (number <= highestWon) {
                    throw new AssertionError(life + " won " + number + " after " + highestWon + " at " + now);
                }
                highestWon = number;
                wins++;
            }

            @Override
            public void lost(String duty, long number) {
                if (candidate.holds(clock())) {
                    throw new AssertionError(life + " lost " + number + " and holds it");
                }
            }
        }

        /** Sends what the voter answers. */
        private final class Votes implements VoterOutput {
            private final Sidecar to;
            private final String toLife;

            private Votes(Sidecar to, String toLife) {
                this.to = to;
                this.toLife = toLife;
            }

            @Override
            public void persist(String duty, long number, VoteReply reply) {
                String ofLife = life;
                diskDoneAt = Math.max(diskDoneAt, now) + random.nextDouble() * DISK_MS;
                at(diskDoneAt, () -> run(ofLife, () -> {
                    if (number <= disk.getOrDefault(duty, 0L)) {
                        throw new AssertionError(name + " promised " + number + " again or fell back to it");
                    }
                    disk.put(duty, number);
                    send(reply);
                }));
            }

            @Override
            public void send(VoteReply reply) {
                deliver(name, to.name, () -> to.run(toLife,
                        () -> to.candidate.received(to.clock(), reply, to.new Candidacy())));
            }

            @Override
            public void vacated(String duty) {
                candidate.vacated(clock());
            }
        }
    }
}
