package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.CheckHealth;
import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.health.PeerSummary;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A simulation of one balancer: servers that slow down, fail, hang, restart and are removed, endpoint updates, peer
 * summaries and client requests, all generated from one seed.
 *
 * <p>Each action is added to a digest with its time. The order in which random numbers are drawn affects the digest.
 */
final class WorkloadSimulation {
    private static final int EVENTS = 40_000;
    private static final int DIGEST_CHARACTERS = 16;

    private final TreeMap<String, Integer> actionCounts = new TreeMap<>();
    private final RecordedWorkload workload;
    private final SplittableRandom random;
    private final SplittableRandom balancerRandom;
    private final AdaptiveBalancer balancer;
    private final MessageDigest digest;
    private final PriorityQueue<ScheduledTask> schedule = new PriorityQueue<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final TreeMap<Long, SimulatedRequest> requestsById = new TreeMap<>();
    private long scheduledCount;
    private long requestCount;
    private double nowMs = 5_000;

    WorkloadSimulation(RecordedWorkload workload, long seed) {
        this.workload = workload;
        this.random = new SplittableRandom(seed);
        this.balancerRandom = new SplittableRandom(seed + 1_000);
        this.balancer = new AdaptiveBalancer(workload.settings(), balancerRandom);
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /** Runs the simulation; may be called once. Returns the digest of all actions. */
    String digest() {
        for (int index = 0; index < workload.servers(); index++) {
            servers.add(new SimulatedServer(index, index % 3 == 2 ? "z2" : "z1", index % 4, 1 + index % 3));
        }
        updateEndpoints(UpdateKind.CACHED);
        scheduleAt(nowMs, this::sendRequest);
        scheduleAt(nowMs + 400, this::changeServerHealth);
        scheduleAt(nowMs + 700, this::changeEndpoints);
        scheduleAt(nowMs + 150, this::receivePeerSummary);
        for (int index = 0; index < EVENTS && !schedule.isEmpty(); index++) {
            ScheduledTask next = schedule.poll();
            nowMs = Math.max(nowMs, next.time());
            next.task().run();
        }
        // The next number depends on how many the balancer has drawn.
        recordLine("drawn up to " + balancerRandom.nextLong());
        return HexFormat.of().formatHex(digest.digest()).substring(0, DIGEST_CHARACTERS);
    }

    /** The number of actions emitted, by the simple name of their type. */
    Map<String, Integer> actionCounts() {
        return actionCounts;
    }

    private void scheduleAt(double time, Runnable task) {
        schedule.add(new ScheduledTask(time, scheduledCount++, task));
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        balancer.handle(nowMs, event, actions::add);
        for (Action action : actions) {
            actionCounts.merge(action.getClass().getSimpleName(), 1, Integer::sum);
            recordLine(recordedForm(action));
            perform(action);
        }
    }

    private void recordLine(String line) {
        digest.update((nowMs + " " + line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The recorded form of an action. It does not change when types and components are renamed. */
    private static String recordedForm(Action action) {
        if (action instanceof Send send) {
            return "Send[request=" + send.request() + ", server=" + send.server() + ", timeoutMs=" + send.timeoutMs()
                    + ", writeWithinMs=" + send.writeWithinMs() + "]";
        }
        if (action instanceof Reject rejection) {
            return "Refuse[request=" + rejection.request() + ", retryInMs=" + rejection.retryAfterMs() + "]";
        }
        if (action instanceof SetTimer timer) {
            return "SetTimer[timer=" + timer.timer() + ", afterMs=" + timer.delayMs() + "]";
        }
        if (action instanceof CheckHealth check) {
            return "Probe[server=" + check.server() + "]";
        }
        if (action instanceof CloseIdleConnections close) {
            return "CloseIdle[server=" + close.server() + "]";
        }
        return action instanceof BroadcastSummary broadcast ? Arrays.toString(broadcast.bytes()) : action.toString();
    }

    private void perform(Action action) {
        if (action instanceof SetTimer timer) {
            scheduleAt(nowMs + timer.delayMs(), () -> handle(new TimerFired(timer.timer())));
        } else if (action instanceof Send send) {
            serve(send);
        } else if (action instanceof Cancel cancel) {
            SimulatedRequest request = requestsById.get(cancel.request());
            scheduleAt(nowMs, () -> end(request, cancel.attempt(), Outcome.CANCELLED, nowMs));
        } else if (action instanceof Reject rejection) {
            requestsById.get(rejection.request()).isComplete = true;
        } else if (action instanceof Fail failure) {
            requestsById.get(failure.request()).isComplete = true;
        } else if (action instanceof Subscribe) {
            double delayMs = 50 + 200 * random.nextDouble();
            boolean broken = random.nextInt(3) == 0;
            scheduleAt(nowMs + delayMs, () -> updateEndpoints(broken ? UpdateKind.BROKEN : UpdateKind.FULL));
        } else if (action instanceof CheckHealth check) {
            SimulatedServer server = server(check.server());
            scheduleAt(
                    nowMs + 5,
                    () -> handle(new HealthChecked(check.server(), server.failureProbability < 0.3, 5, null)));
        }
    }

    private void serve(Send send) {
        SimulatedRequest request = requestsById.get(send.request());
        SimulatedServer server = server(send.server());
        int attempt = request.attemptCount++;
        request.attemptsInFlight.add(attempt);
        request.serversOfAttempts.add(send.server());
        server.inFlight++;
        double elapsedMs = RecordedWorkload.WORK_MS
                        * server.slowdown
                        * (0.3 - StrictMath.log(1 - random.nextDouble()))
                        * (1 + server.inFlight / 4.0)
                        * (1 + 0.2 * request.classIndex)
                + (server.zone.equals("z1") ? 1 : 12);
        Outcome outcome = Outcome.SERVED;
        if (random.nextDouble() < server.failureProbability) {
            outcome = server.failure;
            elapsedMs = outcome == Outcome.TIMED_OUT ? 5_000 : outcome == Outcome.CONNECT_FAILED ? 100 : 3;
        }
        if (send.timeoutMs() > 0 && elapsedMs > send.timeoutMs()) {
            elapsedMs = send.timeoutMs();
            outcome = Outcome.TIMED_OUT;
        }
        if (random.nextInt(400) == 0) {
            outcome = Outcome.NEVER_SENT;
        }
        double sentAt = nowMs;
        Outcome finalOutcome = outcome;
        if (request.classIndex == 3 && finalOutcome == Outcome.SERVED) {
            scheduleAt(nowMs + elapsedMs / 2, () -> startStream(request, attempt, nowMs - sentAt));
        }
        scheduleAt(nowMs + elapsedMs, () -> end(request, attempt, finalOutcome, sentAt));
    }

    private void startStream(SimulatedRequest request, int attempt, double elapsedMs) {
        if (request.attemptsInFlight.contains(attempt) && !request.isComplete) {
            request.isStreaming = true;
            handle(new StreamStarted(request.id, attempt, elapsedMs));
        }
    }

    private void end(SimulatedRequest request, int attempt, Outcome outcome, double sentAt) {
        if (!request.attemptsInFlight.remove((Integer) attempt)) {
            return;
        }
        String server = request.serversOfAttempts.get(attempt);
        server(server).inFlight--;
        request.isComplete |= outcome == Outcome.SERVED || request.isStreaming;
        handle(new AttemptEnded(request.id, attempt, server, outcome, nowMs - sentAt, request.isComplete, null));
    }

    private void sendRequest() {
        int kind = random.nextInt(10);
        SimulatedRequest request = new SimulatedRequest(++requestCount, kind < 5 ? 0 : kind < 7 ? 1 : kind < 8 ? 2 : 3);
        requestsById.put(request.id, request);
        RequestClass requestClass = workload.settings().classes().get(request.classIndex);
        List<String> tenants = Arrays.asList("a", "b", "c", "stranger", null);
        double budget = requestClass.deadlineMs() * (0.3 + 0.7 * random.nextDouble());
        Double cost = random.nextInt(4) == 0 || request.classIndex == 1 ? null : 5 + 30 * random.nextDouble();
        String key = random.nextBoolean() ? "k" + random.nextInt(12) : null;
        handle(new RequestArrived(
                request.id, tenants.get(random.nextInt(5)), key, false, requestClass.name(), budget, cost));
        double abandonAfterMs = random.nextInt(50) == 0 ? budget * random.nextDouble() : budget;
        scheduleAt(nowMs + abandonAfterMs, () -> abandon(request));
        double intervalFactor = nowMs % 20_000 < 4_000 ? 0.3 : 1;
        scheduleAt(
                nowMs + workload.requestIntervalMs() * intervalFactor * -StrictMath.log(1 - random.nextDouble()),
                this::sendRequest);
    }

    private void abandon(SimulatedRequest request) {
        if (!request.isComplete) {
            request.isComplete = true;
            handle(new RequestAbandoned(request.id));
        }
        for (Integer attempt : List.copyOf(request.attemptsInFlight)) {
            scheduleAt(nowMs, () -> end(request, attempt, Outcome.TIMED_OUT, nowMs - 600));
        }
    }

    /** Makes a random server slow, unhealthy or healthy. */
    private void changeServerHealth() {
        SimulatedServer server = servers.get(random.nextInt(servers.size()));
        server.slowdown = random.nextInt(3) == 0 ? 1 + 6 * random.nextDouble() : 1;
        server.failureProbability = random.nextInt(3) == 0 ? random.nextDouble() : random.nextInt(4) == 0 ? 0.05 : 0;
        List<Outcome> failures = List.of(
                Outcome.ERROR,
                Outcome.REJECTED,
                Outcome.TIMED_OUT,
                Outcome.CONNECT_FAILED,
                Outcome.RESET,
                Outcome.ERROR);
        server.failure = failures.get(random.nextInt(failures.size()));
        scheduleAt(nowMs + 900 * random.nextDouble(), this::changeServerHealth);
    }

    /** Drains, removes, restarts or re-adds a random server, then sends an update of a random kind. */
    private void changeEndpoints() {
        SimulatedServer server = servers.get(random.nextInt(servers.size()));
        switch (random.nextInt(6)) {
            case 0 -> server.availability = Availability.DRAINING;
            case 1 -> server.availability = Availability.REMOVED;
            case 2 -> server.startedAt = nowMs - 3_000 * random.nextDouble();
            default -> server.availability = Availability.UP;
        }
        UpdateKind[] kinds = UpdateKind.values();
        updateEndpoints(kinds[random.nextInt(kinds.length)]);
        scheduleAt(nowMs + 2_500 * random.nextDouble(), this::changeEndpoints);
    }

    private void receivePeerSummary() {
        int peer = random.nextInt(-1, 5);
        List<Integer> unhealthy = servers.stream()
                .filter(server -> server.failureProbability > 0.2 || random.nextInt(20) == 0)
                .map(server -> server.id.hashCode())
                .toList();
        byte[] bytes = new PeerSummary(nowMs - 3_500 * random.nextDouble() + 200, unhealthy).encode();
        handle(new PeerSummaryReceived(peer, random.nextInt(20) == 0 ? new byte[3] : bytes));
        scheduleAt(nowMs + 600 * random.nextDouble(), this::receivePeerSummary);
    }

    private void updateEndpoints(UpdateKind kind) {
        List<Endpoint> entries = new ArrayList<>();
        for (SimulatedServer server : servers) {
            boolean isIncluded = kind == UpdateKind.INCREMENTAL || server.availability != Availability.REMOVED;
            if (kind != UpdateKind.BROKEN && isIncluded && (kind != UpdateKind.INCREMENTAL || random.nextInt(3) == 0)) {
                entries.add(new Endpoint(
                        server.id,
                        server.zone,
                        "k",
                        server.cell,
                        server.availability,
                        server.rating,
                        server.startedAt));
            }
        }
        handle(new EndpointUpdate(kind, entries));
    }

    private SimulatedServer server(String id) {
        return servers.get(Integer.parseInt(id.substring(1)));
    }

    /** A scheduled task; tasks with the same time run in the order in which they were scheduled. */
    private record ScheduledTask(double time, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Double.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** The actual state of a server, which the balancer observes only through outcomes and endpoint updates. */
    private static final class SimulatedServer {
        final String id;
        final String zone;
        final long cell;
        final double rating;
        Availability availability = Availability.UP;
        Double startedAt;
        Outcome failure = Outcome.ERROR;
        double slowdown = 1;
        double failureProbability;
        int inFlight;

        SimulatedServer(int number, String zone, long cell, double rating) {
            this.id = "s" + number;
            this.zone = zone;
            this.cell = cell;
            this.rating = rating;
        }
    }

    /** A client request and its attempts. */
    private static final class SimulatedRequest {
        final long id;
        final int classIndex;
        final List<Integer> attemptsInFlight = new ArrayList<>();
        final List<String> serversOfAttempts = new ArrayList<>();
        int attemptCount;
        boolean isComplete;
        boolean isStreaming;

        SimulatedRequest(long id, int classIndex) {
            this.id = id;
            this.classIndex = classIndex;
        }
    }
}
