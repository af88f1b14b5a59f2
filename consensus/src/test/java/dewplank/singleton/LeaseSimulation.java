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
 * Control planes, each a voter and a candidate, in simulated time: messages are lost, late and duplicated, links are
 * cut, processes are frozen, killed and started again, disks are late, refuse writes or are wiped, clocks differ. The
 * set of voters changes as the register changes it: a joint set is accepted by majorities of both, then the new one by
 * a majority of its own, one after the other within milliseconds, and those that were not needed learn of it
 * late. After every event the lease holders are counted, each by its own clock; every fencing token must be above all
 * before it.
 */
final class LeaseSimulation {
    static final double LEASE_MS = 3_000;
    static final String DUTY = "list";
    private static final double MAX_DRIFT = 0.005;
    private static final double PROPOSE_RETRY_INTERVAL_MS = 300;

    /** A lease, and how long a message and a synced write take at the most. */
    record Times(double leaseMs, double maxDelayMs, double maxSyncMs) {}

    /** Far slower than the sites' machines are, next to the lease, so that many messages cross. */
    static final Times SLOW = new Times(LEASE_MS, 41, 10);

    /** Something that happens at a time. */
    private record Event(double atMs, long order, Runnable action) {}

    private final Random random;
    private final Times times;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final Map<String, SimulatedNode> nodes = new HashMap<>();
    private final Set<String> cuts = new TreeSet<>();
    private final Set<AcceptorId> acceptedBy = new HashSet<>();
    private AcceptorSet chosen;
    /** Proposed and not chosen yet; null where nothing is under way. */
    private AcceptorSet proposed;

    private long proposal;

    private long order;
    private double nowMs;
    private long highestToken;
    private double lossRate;
    private double lateRate;
    private double duplicateRate;
    private int leasesAcquired;

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
        for (SimulatedNode node : voters()) {
            node.onSetChosen(chosen);
            at(nowMs + random.nextDouble() * 300, () -> node.start(0));
        }
    }

    private SimulatedNode add() {
        SimulatedNode node = new SimulatedNode("n" + nodes.size());
        nodes.put(node.name, node);
        return node;
    }

    /** A node with an empty disk that is no voter yet, and started after all others may have voted. */
    SimulatedNode spare() {
        SimulatedNode spare = add();
        spare.start(times.leaseMs());
        return spare;
    }

    /** The fractions of messages that are lost, that are seconds late, and that arrive twice. */
    void injectMessageFaults(double lost, double late, double twice) {
        lossRate = lost;
        lateRate = late;
        duplicateRate = twice;
    }

    int leasesAcquired() {
        return leasesAcquired;
    }

    double nowMs() {
        return nowMs;
    }

    /** The nodes at the addresses of the newest chosen set. */
    List<SimulatedNode> voters() {
        return chosen.all().stream()
                .map(voter -> nodes.get(voter.address()))
                .distinct()
                .toList();
    }

    /** All nodes that there ever were. */
    List<SimulatedNode> nodes() {
        return nodes.values().stream()
                .sorted(Comparator.comparing(SimulatedNode::name))
                .toList();
    }

    /** The identity at the address of this member now. */
    AcceptorId identityAt(AcceptorId member) {
        return nodes.get(member.address()).self();
    }

    boolean isChanging() {
        return proposed != null || chosen.isJoint();
    }

    /** Members whose disk was wiped: no identity there can vote. */
    List<AcceptorId> wipedMembers() {
        return chosen.members().stream()
                .filter(voter -> !nodes.get(voter.address()).self().equals(voter))
                .toList();
    }

    /** Whether the node may lose its disk with a majority left in each set that counts. */
    boolean toleratesWipeOf(SimulatedNode node) {
        return toleratesWipeOf(node, chosen.members())
                && toleratesWipeOf(node, chosen.joining())
                && (proposed == null
                        || toleratesWipeOf(node, proposed.members()) && toleratesWipeOf(node, proposed.joining()));
    }

    private boolean toleratesWipeOf(SimulatedNode node, List<AcceptorId> part) {
        long left = part.stream()
                .filter(voter -> !voter.address().equals(node.name)
                        && nodes.get(voter.address()).self().equals(voter))
                .count();
        return part.isEmpty() || left > part.size() / 2;
    }

    /** Begins to replace one member; by the identity at its address now, where it was wiped. */
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
        retryProposal(proposal);
    }

    /** A node that is up proposes; another one goes on with it where that one ends or is cut off. */
    private void retryProposal(long number) {
        if (number != proposal || proposed == null) {
            return;
        }
        List<SimulatedNode> up = nodes().stream().filter(SimulatedNode::isUp).toList();
        if (!up.isEmpty()) {
            SimulatedNode proposer = up.get(random.nextInt(up.size()));
            for (AcceptorId acceptor : proposed.all()) {
                SimulatedNode target = nodes.get(acceptor.address());
                deliver(proposer.name, target.name, () -> target.accept(number, acceptor, proposer));
            }
        }
        at(nowMs + PROPOSE_RETRY_INTERVAL_MS, () -> retryProposal(number));
    }

    private void accepted(long number, AcceptorId by, SimulatedNode proposer) {
        if (number != proposal || proposed == null) {
            return;
        }
        acceptedBy.add(by);
        if (proposed.isQuorum(acceptedBy)) {
            chosen = proposed;
            proposed = null;
            proposer.onSetChosen(chosen);
            publish(chosen);
            if (chosen.isJoint()) {
                propose(new AcceptorSet(chosen.generation() + 1, chosen.joining(), List.of()));
            }
        }
    }

    private void publish(AcceptorSet set) {
        for (SimulatedNode node : nodes()) {
            double lag = random.nextInt(4) == 0 ? random.nextDouble() * 3 * times.leaseMs() : delay();
            at(nowMs + lag, () -> node.run(node.incarnation, () -> node.onSetChosen(set)));
            at(nowMs + 4 * times.leaseMs(), () -> node.onSetChosen(set));
        }
    }

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void healAll() {
        cuts.clear();
        injectMessageFaults(0, 0, 0);
    }

    /** The lease holder, each by its own clock; null where there is none. */
    SimulatedNode leaseHolder() {
        SimulatedNode holder = null;
        for (SimulatedNode node : nodes.values()) {
            if (node.isLeaseHolder()) {
                if (holder != null) {
                    throw new AssertionError(
                            "two holders at " + nowMs + ": " + holder.incarnation + ", " + node.incarnation);
                }
                holder = node;
            }
        }
        return holder;
    }

    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().atMs() <= end) {
            step();
        }
        nowMs = Math.max(nowMs, end);
    }

    /** Runs until a node other than the excluded one holds the lease; returns how long this took, in milliseconds. */
    double runUntilAcquired(SimulatedNode excluded, double boundMs) {
        double start = nowMs;
        while (nowMs < start + boundMs && !events.isEmpty()) {
            SimulatedNode holder = leaseHolder();
            if (holder != null && holder != excluded) {
                return nowMs - start;
            }
            step();
        }
        throw new AssertionError("vacant for longer than " + boundMs + " ms since " + start);
    }

    private void step() {
        Event event = events.poll();
        nowMs = Math.max(nowMs, event.atMs());
        event.action().run();
        leaseHolder();
    }

    void at(double time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private void deliver(String from, String to, Runnable action) {
        if (from.equals(to)) {
            at(nowMs, action);
            return;
        }
        if (cuts.contains(from + ">" + to) || random.nextDouble() < lossRate) {
            return;
        }
        at(nowMs + delay(), action);
        if (random.nextDouble() < duplicateRate) {
            at(nowMs + delay(), action);
        }
    }

    private double delay() {
        return random.nextDouble() < lateRate
                ? random.nextDouble() * 2 * times.leaseMs()
                : times.maxDelayMs() * (1 + 40 * random.nextDouble()) / 41;
    }

    /** A control plane: its disk outlives its processes. */
    final class SimulatedNode {
        private final String name;
        private final double rate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final double offset = random.nextDouble() * 1e6;
        private final Map<String, Long> persistedTokens = new HashMap<>();
        private final List<Runnable> deferred = new ArrayList<>();
        private double diskIdleAtMs;
        private AcceptorSet chosenSet = AcceptorSet.of(List.of());
        private long acceptedGeneration;
        private int diskCount = 1;
        private boolean diskFails;
        private int incarnations;
        private String incarnation;
        private boolean frozen;
        private LeaseVoter voter;
        private Candidate candidate;

        private SimulatedNode(String name) {
            this.name = name;
        }

        String name() {
            return name;
        }

        /** The address and the identity of the disk that is there now. */
        AcceptorId self() {
            return new AcceptorId(name, name + "#" + diskCount);
        }

        boolean isUp() {
            return voter != null;
        }

        boolean isLeaseHolder() {
            return isUp() && candidate.isLeaseHolder(clock());
        }

        long fencingToken() {
            return candidate.fencingToken();
        }

        double clock() {
            return offset + nowMs * rate;
        }

        void start(double abstainMs) {
            if (isUp()) {
                return;
            }
            incarnations++;
            incarnation = name + "/" + incarnations;
            voter = new LeaseVoter(self().identity(), times.leaseMs(), clock() + abstainMs, persistedTokens);
            candidate =
                    new Candidate(DUTY, incarnation, LeaseTiming.ofLease(times.leaseMs()), random::nextDouble, clock());
            updateVoterSets();
            schedule();
        }

        /** A chosen set is on disk before anything else is done with it. */
        private void onSetChosen(AcceptorSet set) {
            if (chosenSet.all().isEmpty() || set.generation() > chosenSet.generation()) {
                chosenSet = set;
                updateVoterSets();
            }
        }

        /** The acceptance is on disk before it is sent. */
        private void accept(long number, AcceptorId as, SimulatedNode proposer) {
            run(incarnation, () -> {
                if (number == proposal && proposed != null && as.equals(self())) {
                    acceptedGeneration = proposed.generation();
                    updateVoterSets();
                    deliver(name, proposer.name, () -> accepted(number, as, proposer));
                }
            });
        }

        private void updateVoterSets() {
            if (isUp()) {
                voter.updateVoterSet(clock(), chosenSet.generation(), acceptedGeneration);
                candidate.updateVoterSet(clock(), chosenSet, Set.of());
            }
        }

        /** Ends it and takes its disk: the next one at the address has another identity and no state. */
        void wipe() {
            kill();
            diskCount++;
            persistedTokens.clear();
            chosenSet = AcceptorSet.of(List.of());
            acceptedGeneration = 0;
        }

        void failDisk(boolean fails) {
            diskFails = fails;
        }

        void stepDown(double backoffMs) {
            run(incarnation, () -> candidate.stepDown(clock(), backoffMs, new CandidateEffects()));
        }

        void kill() {
            voter = null;
            candidate = null;
            frozen = false;
            deferred.clear();
        }

        void freeze() {
            frozen = isUp();
        }

        void thaw() {
            frozen = false;
            List<Runnable> due = new ArrayList<>(deferred);
            deferred.clear();
            due.forEach(Runnable::run);
        }

        void shutDown() {
            run(incarnation, () -> candidate.shutDown(clock(), new CandidateEffects()));
        }

        /** Runs an action of an incarnation of this node: later where it is frozen, never after the end of that one. */
        private void run(String ofIncarnation, Runnable action) {
            if (!isUp() || !incarnation.equals(ofIncarnation)) {
                return;
            }
            if (frozen) {
                deferred.add(() -> run(ofIncarnation, action));
            } else {
                action.run();
                schedule();
            }
        }

        private void schedule() {
            String ofIncarnation = incarnation;
            double nextTickAtMs = candidate.nextTickAtMs();
            if (nextTickAtMs < Double.POSITIVE_INFINITY) {
                double time = Math.max(nowMs, (nextTickAtMs - offset) / rate) + random.nextDouble();
                at(time, () -> tick(ofIncarnation, nextTickAtMs));
            }
        }

        private void tick(String ofIncarnation, double nextTickAtMs) {
            run(ofIncarnation, () -> {
                if (candidate.nextTickAtMs() == nextTickAtMs) {
                    candidate.tick(clock(), new CandidateEffects());
                }
            });
        }

        private void onVoteRequest(VoteRequest request, SimulatedNode from, String fromIncarnation) {
            run(incarnation, () -> voter.onVoteRequest(clock(), request, new VoterEffects(from, fromIncarnation)));
        }

        /** Sends the candidate's requests, and checks that fencing tokens rise. */
        private final class CandidateEffects implements Candidate.Effects {
            @Override
            public void send(AcceptorId to, VoteRequest request) {
                String fromIncarnation = incarnation;
                SimulatedNode target = nodes.get(to.address());
                deliver(name, to.address(), () -> target.onVoteRequest(request, SimulatedNode.this, fromIncarnation));
            }

            @Override
            public void leaseAcquired(String duty, long fencingToken) {
                if (fencingToken <= highestToken) {
                    throw new AssertionError(
                            incarnation + " acquired " + fencingToken + " after " + highestToken + " at " + nowMs);
                }
                highestToken = fencingToken;
                leasesAcquired++;
            }

            @Override
            public void leaseLost(String duty, long fencingToken) {
                if (candidate.isLeaseHolder(clock())) {
                    throw new AssertionError(incarnation + " lost " + fencingToken + " and holds it");
                }
            }
        }

        /** Persists tokens and sends the voter's replies. */
        private final class VoterEffects implements LeaseVoter.Effects {
            private final SimulatedNode to;
            private final String toIncarnation;

            private VoterEffects(SimulatedNode to, String toIncarnation) {
                this.to = to;
                this.toIncarnation = toIncarnation;
            }

            @Override
            public void persistToken(VoteRequest request, VoteReply reply) {
                String ofIncarnation = incarnation;
                diskIdleAtMs = Math.max(diskIdleAtMs, nowMs) + random.nextDouble() * times.maxSyncMs();
                at(diskIdleAtMs, () -> run(ofIncarnation, () -> persisted(request, reply)));
            }

            private void persisted(VoteRequest request, VoteReply reply) {
                boolean torn = diskFails && random.nextBoolean();
                if (!diskFails || torn) {
                    if (reply.highestToken() < persistedTokens.getOrDefault(request.duty(), 0L)) {
                        throw new AssertionError(name + " fell back to " + reply.highestToken());
                    }
                    persistedTokens.put(request.duty(), reply.highestToken());
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
                        () -> to.run(
                                toIncarnation,
                                () -> to.candidate.onVoteReply(to.clock(), reply, to.new CandidateEffects())));
            }

            @Override
            public void leaseReleased(String duty) {
                candidate.onLeaseReleased(clock());
            }
        }
    }
}
