package dewplank.balancer.adaptive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import dewplank.balancer.health.PeerSummary;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every action over long random days, to the last bit, is as recorded: a change of form changes no decision. A change
 * that means to decide otherwise records anew and says so. The last bits of {@code Math.exp} are those of x86-64.
 */
class RecordedDecisionsTest {
    private static final int EVENTS = 40_000;

    private final TreeMap<String, Integer> actionCounts = new TreeMap<>();

    @ParameterizedTest(name = "settings {0}, seed {1}")
    @CsvSource({
        "plain, 1, bc7bd198c52a47fd",
        "plain, 2, 606d368fe4c107df",
        "plain, 3, 8a2b1c1cd918025e",
        "pushless, 1, 1bf2fe907bcbdd2c",
        "pushless, 2, c3407ef0847bb07e",
        "pushless, 3, 8610c9979b947b0e",
        "copies, 1, aca7518d3ee82359",
        "copies, 2, d51eb3db19c3d1c5",
        "copies, 3, 1a515e52c961fef8",
        "quiet, 1, 488fcc820785cf19",
        "quiet, 2, 3a67a2b2e2b41c80",
        "quiet, 3, c64d6001d9f767b5",
        "crowd, 1, 76fb4a2c59594d2d",
        "crowd, 2, f612efb27f7ef2fa",
        "crowd, 3, b27d1a6198a17a65",
        "tenants, 1, 3e6678dc6a4aa821",
        "tenants, 2, 4a1ea467b05fb613",
        "tenants, 3, 2afe4e17147b7b03",
        "peers, 1, 9a0181336023126e",
        "peers, 2, 22efd325c5c9fe3d",
        "peers, 3, cc9e50f9957939ee",
        "wide, 1, e71372d4dc272a43",
        "wide, 2, 1b728435b8255001",
        "wide, 3, 750bbbb065bb271d",
    })
    void everyActionIsAsRecorded(String settings, long seed, String digest) {
        assertEquals(digest, new SimulatedDay(variant(settings), seed).digest());
    }

    /** Else the digests would say little. */
    @Test
    void theDaysCallForEveryAction() {
        for (String settings : List.of("plain", "pushless", "copies", "quiet", "crowd", "tenants", "peers", "wide")) {
            new SimulatedDay(variant(settings), 1).digest();
        }
        for (Class<?> action : Action.class.getPermittedSubclasses()) {
            assertTrue(actionCounts.getOrDefault(action.getSimpleName(), 0) >= 10, actionCounts.toString());
        }
    }

    /** What is drawn of each day's sidecar, servers and traffic. */
    private record Variant(Settings settings, int servers, double requestIntervalMs, double workMs) {}

    private static Variant variant(String name) {
        Idempotency idempotency = name.equals("crowd") ? Idempotency.UNSAFE : Idempotency.KEYED;
        DeduplicationScope deduplicationScope = name.equals("copies")
                ? DeduplicationScope.ALL
                : name.equals("peers") ? DeduplicationScope.CELL : DeduplicationScope.ZONE;
        boolean allowsHedging = name.equals("copies") || name.equals("wide");
        boolean isMinimal = name.equals("quiet");
        List<RequestClass> classes = List.of(
                new RequestClass(
                        "read",
                        Idempotency.SAFE,
                        DeduplicationScope.ALL,
                        0,
                        300,
                        name.equals("plain") ? 0.5 : 0,
                        600,
                        1,
                        0.2,
                        false),
                new RequestClass("act", idempotency, deduplicationScope, 400, 400, 0, 700, 5, 0, false),
                new RequestClass("pay", Idempotency.UNSAFE, DeduplicationScope.ALL, 0, 500, 0, 1_500, 9, 0, false),
                new RequestClass("flow", Idempotency.SAFE, DeduplicationScope.ALL, 0, 200, 0, 2_000, 2, 0.5, true));
        List<Tenant> tenants = name.equals("tenants") || name.equals("peers")
                ? List.of(new Tenant("a", 0.5, 40), new Tenant("b", 0.3, 20), new Tenant("c", 0.2, 0))
                : List.of();
        Limits limits = new Limits(
                isMinimal ? 2 : 4,
                allowsHedging,
                !allowsHedging && !isMinimal,
                name.equals("peers") || isMinimal,
                name.equals("peers") || name.equals("wide"),
                !isMinimal,
                300,
                100,
                name.equals("wide") ? 2_000 : 15_000,
                name.equals("pushless") ? 1 : name.equals("wide") ? 3 : 100);
        Safety safety =
                new Safety(10_000, isMinimal ? 0 : 10_000, 0.3, 3, 1_000, name.equals("pushless"), allowsHedging);
        Goal goal = new Goal(0.9, 0.1, name.equals("crowd") || isMinimal ? 0.4 : 0, 0.01);
        Settings settings = new Settings(
                1,
                name.equals("wide") ? 200 : 4,
                "z1",
                1,
                !name.equals("pushless"),
                name.equals("tenants") || name.equals("wide"),
                name.equals("pushless") || name.equals("crowd"),
                name.equals("copies") || name.equals("tenants"),
                0.1,
                List.of("busy"),
                false,
                classes,
                tenants,
                limits,
                safety,
                new Prices(name.equals("copies") ? 0 : 0.05, 0.02),
                goal);
        int servers = name.equals("wide") ? 80 : name.equals("crowd") ? 4 : 9;
        return new Variant(settings, servers, name.equals("wide") ? 40 : name.equals("crowd") ? 4 : 8, 15);
    }

    /** One sidecar's day: servers that slow down, fail, hang, restart and go, and lists, peers and clients. */
    private final class SimulatedDay {
        private final Variant variant;
        private final SplittableRandom random;
        private final SplittableRandom balancerRandom;
        private final AdaptiveBalancer balancer;
        private final MessageDigest digest;
        private final PriorityQueue<ScheduledTask> schedule = new PriorityQueue<>();
        private final List<SimulatedServer> servers = new ArrayList<>();
        private final TreeMap<Long, SimulatedClient> clients = new TreeMap<>();
        private long scheduledCount;
        private long requests;
        private double nowMs = 5_000;

        SimulatedDay(Variant variant, long seed) {
            this.variant = variant;
            this.random = new SplittableRandom(seed);
            this.balancerRandom = new SplittableRandom(seed + 1_000);
            this.balancer = new AdaptiveBalancer(variant.settings(), balancerRandom);
            try {
                this.digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException missing) {
                throw new IllegalStateException(missing);
            }
        }

        String digest() {
            for (int index = 0; index < variant.servers(); index++) {
                servers.add(new SimulatedServer(index, index % 3 == 2 ? "z2" : "z1", index % 4, 1 + index % 3));
            }
            updateEndpoints(UpdateKind.CACHED);
            at(nowMs, this::sendRequest);
            at(nowMs + 400, this::changeServerHealth);
            at(nowMs + 700, this::changeEndpoints);
            at(nowMs + 150, this::receivePeerSummary);
            for (int index = 0; index < EVENTS && !schedule.isEmpty(); index++) {
                ScheduledTask next = schedule.poll();
                nowMs = Math.max(nowMs, next.time());
                next.task().run();
            }
            recordLine("drawn up to " + balancerRandom.nextLong()); // as many numbers were drawn
            return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
        }

        private void at(double time, Runnable task) {
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

        /** The words of the recording, which stay as they were recorded whatever the types are called now. */
        private static String recordedForm(Action action) {
            if (action instanceof Send send) {
                return "Send[request=" + send.request() + ", server=" + send.server() + ", timeoutMs="
                        + send.timeoutMs() + ", writeWithinMs=" + send.writeWithinMs() + "]";
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
            return action instanceof BroadcastSummary broadcast
                    ? Arrays.toString(broadcast.bytes())
                    : action.toString();
        }

        private void perform(Action action) {
            if (action instanceof SetTimer timer) {
                at(nowMs + timer.delayMs(), () -> handle(new TimerFired(timer.timer())));
            } else if (action instanceof Send send) {
                serve(send);
            } else if (action instanceof Cancel cancel) {
                SimulatedClient client = clients.get(cancel.request());
                at(nowMs, () -> end(client, cancel.attempt(), Outcome.CANCELLED, nowMs));
            } else if (action instanceof Reject rejection) {
                clients.get(rejection.request()).isOver = true;
            } else if (action instanceof Fail failure) {
                clients.get(failure.request()).isOver = true;
            } else if (action instanceof Subscribe) {
                double delayMs = 50 + 200 * random.nextDouble();
                boolean broken = random.nextInt(3) == 0;
                at(nowMs + delayMs, () -> updateEndpoints(broken ? UpdateKind.BROKEN : UpdateKind.FULL));
            } else if (action instanceof CheckHealth check) {
                SimulatedServer server = server(check.server());
                at(
                        nowMs + 5,
                        () -> handle(new HealthChecked(check.server(), server.failureProbability < 0.3, 5, null)));
            }
        }

        private void serve(Send send) {
            SimulatedClient client = clients.get(send.request());
            SimulatedServer server = server(send.server());
            int attempt = client.attemptCount++;
            client.attemptsInFlight.add(attempt);
            client.serversOfAttempts.add(send.server());
            server.inFlight++;
            double elapsedMs = variant.workMs()
                            * server.slowdown
                            * (0.3 - Math.log(1 - random.nextDouble()))
                            * (1 + server.inFlight / 4.0)
                            * (1 + 0.2 * client.kind)
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
            if (client.kind == 3 && finalOutcome == Outcome.SERVED) {
                at(nowMs + elapsedMs / 2, () -> startStream(client, attempt, nowMs - sentAt));
            }
            at(nowMs + elapsedMs, () -> end(client, attempt, finalOutcome, sentAt));
        }

        private void startStream(SimulatedClient client, int attempt, double elapsedMs) {
            if (client.attemptsInFlight.contains(attempt) && !client.isOver) {
                client.hasStarted = true;
                handle(new StreamStarted(client.id, attempt, elapsedMs));
            }
        }

        private void end(SimulatedClient client, int attempt, Outcome outcome, double sentAt) {
            if (!client.attemptsInFlight.remove((Integer) attempt)) {
                return;
            }
            String server = client.serversOfAttempts.get(attempt);
            server(server).inFlight--;
            client.isOver |= outcome == Outcome.SERVED || client.hasStarted;
            handle(new AttemptEnded(client.id, attempt, server, outcome, nowMs - sentAt, client.isOver, null));
        }

        private void sendRequest() {
            int kind = random.nextInt(10);
            SimulatedClient client = new SimulatedClient(++requests, kind < 5 ? 0 : kind < 7 ? 1 : kind < 8 ? 2 : 3);
            clients.put(client.id, client);
            RequestClass rules = variant.settings().classes().get(client.kind);
            List<String> tenants = Arrays.asList("a", "b", "c", "stranger", null);
            double budget = rules.deadlineMs() * (0.3 + 0.7 * random.nextDouble());
            Double cost = random.nextInt(4) == 0 || client.kind == 1 ? null : 5 + 30 * random.nextDouble();
            String key = random.nextBoolean() ? "k" + random.nextInt(12) : null;
            handle(new RequestArrived(
                    client.id, tenants.get(random.nextInt(5)), key, false, rules.name(), budget, cost));
            double patienceMs = random.nextInt(50) == 0 ? budget * random.nextDouble() : budget;
            at(nowMs + patienceMs, () -> abandon(client));
            double intervalFactor = nowMs % 20_000 < 4_000 ? 0.3 : 1;
            at(
                    nowMs + variant.requestIntervalMs() * intervalFactor * -Math.log(1 - random.nextDouble()),
                    this::sendRequest);
        }

        private void abandon(SimulatedClient client) {
            if (!client.isOver) {
                client.isOver = true;
                handle(new RequestAbandoned(client.id));
            }
            for (Integer attempt : List.copyOf(client.attemptsInFlight)) {
                at(nowMs, () -> end(client, attempt, Outcome.TIMED_OUT, nowMs - 600));
            }
        }

        /** Servers turn slow, ill or well. */
        private void changeServerHealth() {
            SimulatedServer server = servers.get(random.nextInt(servers.size()));
            server.slowdown = random.nextInt(3) == 0 ? 1 + 6 * random.nextDouble() : 1;
            server.failureProbability =
                    random.nextInt(3) == 0 ? random.nextDouble() : random.nextInt(4) == 0 ? 0.05 : 0;
            List<Outcome> failures = List.of(
                    Outcome.ERROR,
                    Outcome.REJECTED,
                    Outcome.TIMED_OUT,
                    Outcome.CONNECT_FAILED,
                    Outcome.RESET,
                    Outcome.ERROR);
            server.failure = failures.get(random.nextInt(failures.size()));
            at(nowMs + 900 * random.nextDouble(), this::changeServerHealth);
        }

        /** Servers drain, go, come again as new processes, or change their cell; sometimes the list breaks. */
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
            at(nowMs + 2_500 * random.nextDouble(), this::changeEndpoints);
        }

        private void receivePeerSummary() {
            int peer = random.nextInt(-1, 5);
            List<Integer> unhealthy = servers.stream()
                    .filter(server -> server.failureProbability > 0.2 || random.nextInt(20) == 0)
                    .map(server -> server.id.hashCode())
                    .toList();
            byte[] bytes = new PeerSummary(nowMs - 3_500 * random.nextDouble() + 200, unhealthy).encode();
            handle(new PeerSummaryReceived(peer, random.nextInt(20) == 0 ? new byte[3] : bytes));
            at(nowMs + 600 * random.nextDouble(), this::receivePeerSummary);
        }

        private void updateEndpoints(UpdateKind kind) {
            List<Endpoint> entries = new ArrayList<>();
            for (SimulatedServer server : servers) {
                boolean isListed = kind == UpdateKind.INCREMENTAL || server.availability != Availability.REMOVED;
                if (kind != UpdateKind.BROKEN
                        && isListed
                        && (kind != UpdateKind.INCREMENTAL || random.nextInt(3) == 0)) {
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
    }

    /** Something to do at a time; those of one time in the order they were asked for. */
    private record ScheduledTask(double time, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Double.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A server as it truly is. */
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

    /** A request as its client sees it. */
    private static final class SimulatedClient {
        final long id;
        final int kind;
        final List<Integer> attemptsInFlight = new ArrayList<>();
        final List<String> serversOfAttempts = new ArrayList<>();
        int attemptCount;
        boolean isOver;
        boolean hasStarted;

        SimulatedClient(long id, int kind) {
            this.id = id;
            this.kind = kind;
        }
    }
}
