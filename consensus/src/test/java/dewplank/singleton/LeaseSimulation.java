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
 * Simulates control planes, each with a voter and a candidate, in virtual time. Messages are lost, delayed and
 * duplicated; links are blocked; processes are paused, killed and restarted; disks are slow, fail writes or are wiped;
 * clocks run at different speeds. The voter set changes in the same way as the register changes it: majorities of both
 * sets accept a joint set, then a majority of the new set accepts that one. Both steps take only milliseconds, and
 * nodes that were not needed for the quorums may receive the new set late. After every event, the simulation checks
 * that there is at most one lease holder, each by its own clock. Every fencing token must be higher than all earlier
 * ones.
 */
final class LeaseSimulation {
    static final double LEASE_MS = 3_000;
    static final String DUTY = "list";
    private static final double MAX_DRIFT = 0.005;
    private static final double PROPOSE_RETRY_INTERVAL_MS = 300;

    /** The duration of a lease, and the maximum durations of a message and of a synced write. */
    record Times(double leaseMs, double maxDelayMs, double maxSyncMs) {}

    /** Delays far above those of the sites' machines, relative to the lease, so that many messages are reordered. */
    static final Times SLOW = new Times(LEASE_MS, 41, 10);

    /** An action that is scheduled for a time. */
    private record Event(double atMs, long order, Runnable action) {}

    private final Random random;
    private final Times times;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final Map<String, SimulatedNode> nodes = new HashMap<>();
    private final Set<String> blockedLinks = new TreeSet<>();
    private final Set<AcceptorId> acceptedBy = new HashSet<>();
    private AcceptorSet chosen;
    /** The proposed voter set that is not chosen yet; null if there is none. */
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
            members.add(addNode().self());
        }
        chosen = AcceptorSet.of(members);
        for (SimulatedNode node : voters()) {
            node.onSetChosen(chosen);
            at(nowMs + random.nextDouble() * 300, () -> node.start(0));
        }
    }

    private SimulatedNode addNode() {
        SimulatedNode node = new SimulatedNode("n" + nodes.size());
        nodes.put(node.name, node);
        return node;
    }

    /** Adds and starts a node with an empty disk that is not a voter yet; it abstains for a lease duration. */
    SimulatedNode addSpare() {
        SimulatedNode spare = addNode();
        spare.start(times.leaseMs());
        return spare;
    }

    /** Sets the fractions of messages that are lost, that are delayed by seconds, and that arrive twice. */
    void injectMessageFaults(double lost, double late, double duplicated) {
        lossRate = lost;
        lateRate = late;
        duplicateRate = duplicated;
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

    /** All nodes that were ever added. */
    List<SimulatedNode> nodes() {
        return nodes.values().stream()
                .sorted(Comparator.comparing(SimulatedNode::name))
                .toList();
    }

    /** The current identity at the address of this member. */
    AcceptorId identityAt(AcceptorId member) {
        return nodes.get(member.address()).self();
    }

    boolean isChanging() {
        return proposed != null || chosen.isJoint();
    }

    /** Members whose disk was wiped, so that no process can vote with their identity. */
    List<AcceptorId> wipedMembers() {
        return chosen.members().stream()
                .filter(voter -> !nodes.get(voter.address()).self().equals(voter))
                .toList();
    }

    /** Whether a majority of each current and proposed set remains if the node loses its disk. */
    boolean toleratesWipeOf(SimulatedNode node) {
        return toleratesWipeOf(node, chosen.members())
                && toleratesWipeOf(node, chosen.joining())
                && (proposed == null
                        || toleratesWipeOf(node, proposed.members()) && toleratesWipeOf(node, proposed.joining()));
    }

    private boolean toleratesWipeOf(SimulatedNode node, List<AcceptorId> part) {
        long remaining = part.stream()
                .filter(voter -> !voter.address().equals(node.name)
                        && nodes.get(voter.address()).self().equals(voter))
                .count();
        return part.isEmpty() || remaining > part.size() / 2;
    }

    /** Starts the replacement of one member, for example by the current identity at its address after a wipe. */
    void replace(AcceptorId member, AcceptorId successor) {
        List<AcceptorId> target = new ArrayList<>(chosen.members());
        target.set(target.indexOf(member), successor);
        change(target);
    }

    /** Changes the set in a random way: removes one member, replaces one, adds one, or adds two. */
    void changeVoters() {
        List<AcceptorId> target = new ArrayList<>(chosen.members());
        int kind = random.nextInt(4);
        if (kind == 0 && target.size() > 1) {
            target.remove(random.nextInt(target.size()));
        } else if (kind == 1) {
            target.set(random.nextInt(target.size()), addSpare().self());
        } else if (target.size() < 7) {
            target.add(addSpare().self());
            if (kind == 2) {
                target.add(addSpare().self());
            }
        }
        change(target);
    }

    void change(List<AcceptorId> target) {
        long available =
                target.stream().filter(voter -> identityAt(voter).equals(voter)).count();
        if (!isChanging() && !chosen.consistsOf(target) && 2 * available > target.size()) {
            propose(new AcceptorSet(chosen.generation() + 1, chosen.members(), target));
        }
    }

    private void propose(AcceptorSet next) {
        proposed = next;
        proposal++;
        acceptedBy.clear();
        retryProposal(proposal);
    }

    /** Lets a random running node propose the set, and repeats this until the set is chosen. */
    private void retryProposal(long number) {
        if (number != proposal || proposed == null) {
            return;
        }
        List<SimulatedNode> up =
                nodes().stream().filter(SimulatedNode::isRunning).toList();
        if (!up.isEmpty()) {
            SimulatedNode proposer = up.get(random.nextInt(up.size()));
            for (AcceptorId acceptor : proposed.all()) {
                SimulatedNode target = nodes.get(acceptor.address());
                deliver(proposer.name, target.name, () -> target.accept(number, acceptor, proposer));
            }
        }
        at(nowMs + PROPOSE_RETRY_INTERVAL_MS, () -> retryProposal(number));
    }

    private void accepted(long number, AcceptorId acceptor, SimulatedNode proposer) {
        if (number != proposal || proposed == null) {
            return;
        }
        acceptedBy.add(acceptor);
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
            double delayMs = random.nextInt(4) == 0 ? random.nextDouble() * 3 * times.leaseMs() : delay();
            at(nowMs + delayMs, () -> node.run(node.incarnation, () -> node.onSetChosen(set)));
            at(nowMs + 4 * times.leaseMs(), () -> node.onSetChosen(set));
        }
    }

    void blockLink(String from, String to) {
        blockedLinks.add(from + ">" + to);
    }

    void healAll() {
        blockedLinks.clear();
        injectMessageFaults(0, 0, 0);
    }

    /** The lease holder by its own clock; null if there is none. Fails if there is more than one. */
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

    /** Runs until a node other than the excluded one has the lease; returns how long this took, in milliseconds. */
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
        if (blockedLinks.contains(from + ">" + to) || random.nextDouble() < lossRate) {
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

    /** A control plane; its disk state survives the end of its processes. */
    final class SimulatedNode {
        private final String name;
        private final double clockRate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final double clockOffset = random.nextDouble() * 1e6;
        private final Map<String, Long> persistedTokens = new HashMap<>();
        private final List<Runnable> deferred = new ArrayList<>();
        private double diskIdleAtMs;
        private AcceptorSet chosenSet = AcceptorSet.of(List.of());
        private long acceptedGeneration;
        private int diskCount = 1;
        private boolean diskFails;
        private int incarnations;
        private String incarnation;
        private boolean paused;
        private LeaseVoter voter;
        private Candidate candidate;

        private SimulatedNode(String name) {
            this.name = name;
        }

        String name() {
            return name;
        }

        /** The address, and the identity of the current disk. */
        AcceptorId self() {
            return new AcceptorId(name, name + "#" + diskCount);
        }

        boolean isRunning() {
            return voter != null;
        }

        boolean isLeaseHolder() {
            return isRunning() && candidate.isLeaseHolder(clock());
        }

        long fencingToken() {
            return candidate.fencingToken();
        }

        double clock() {
            return clockOffset + nowMs * clockRate;
        }

        void start(double abstainMs) {
            if (isRunning()) {
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

        /** Persists a chosen set before it is used. */
        private void onSetChosen(AcceptorSet set) {
            if (chosenSet.all().isEmpty() || set.generation() > chosenSet.generation()) {
                chosenSet = set;
                updateVoterSets();
            }
        }

        /** Persists the acceptance before it is sent. */
        private void accept(long number, AcceptorId acceptor, SimulatedNode proposer) {
            run(incarnation, () -> {
                if (number == proposal && proposed != null && acceptor.equals(self())) {
                    acceptedGeneration = proposed.generation();
                    updateVoterSets();
                    deliver(name, proposer.name, () -> accepted(number, acceptor, proposer));
                }
            });
        }

        private void updateVoterSets() {
            if (isRunning()) {
                voter.updateVoterSet(clock(), chosenSet.generation(), acceptedGeneration);
                candidate.updateVoterSet(clock(), chosenSet, Set.of());
            }
        }

        /** Kills the process and wipes its disk: the next process at the address has a new identity and no state. */
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
            paused = false;
            deferred.clear();
        }

        void pause() {
            paused = isRunning();
        }

        void resume() {
            paused = false;
            List<Runnable> due = new ArrayList<>(deferred);
            deferred.clear();
            due.forEach(Runnable::run);
        }

        void shutDown() {
            run(incarnation, () -> candidate.shutDown(clock(), new CandidateEffects()));
        }

        /**
         * Runs an action of one incarnation of this node. It is deferred while the node is paused, and dropped once the
         * incarnation has ended.
         */
        private void run(String ofIncarnation, Runnable action) {
            if (!isRunning() || !incarnation.equals(ofIncarnation)) {
                return;
            }
            if (paused) {
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
                double time = Math.max(nowMs, (nextTickAtMs - clockOffset) / clockRate) + random.nextDouble();
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

        /** Sends the candidate's requests, and checks that fencing tokens increase. */
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
                    throw new AssertionError(incarnation + " lost " + fencingToken + " but is still lease holder");
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
                        throw new AssertionError(name + " persists the lower token " + reply.highestToken());
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
