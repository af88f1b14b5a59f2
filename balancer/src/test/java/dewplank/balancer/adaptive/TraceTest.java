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
class TraceTest {
    private static final int EVENTS = 40_000;

    private final TreeMap<String, Integer> counts = new TreeMap<>();

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
        assertEquals(digest, new Day(variant(settings), seed).digest());
    }

    /** Else the digests would say little. */
    @Test
    void theDaysCallForEveryAction() {
        for (String settings : List.of("plain", "pushless", "copies", "quiet", "crowd", "tenants", "peers", "wide")) {
            new Day(variant(settings), 1).digest();
        }
        for (Class<?> action : Action.class.getPermittedSubclasses()) {
            assertTrue(counts.getOrDefault(action.getSimpleName(), 0) >= 10, counts.toString());
        }
    }

    /** What is drawn of each day's sidecar, servers and traffic. */
    private record Variant(Settings settings, int servers, double everyMs, double workMs) {}

    private static Variant variant(String name) {
        Idempotency effect = name.equals("crowd") ? Idempotency.UNSAFE : Idempotency.KEYED;
        DeduplicationScope scope = name.equals("copies")
                ? DeduplicationScope.ALL
                : name.equals("peers") ? DeduplicationScope.CELL : DeduplicationScope.ZONE;
        boolean copies = name.equals("copies") || name.equals("wide");
        boolean quiet = name.equals("quiet");
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
                new RequestClass("act", effect, scope, 400, 400, 0, 700, 5, 0, false),
                new RequestClass("pay", Idempotency.UNSAFE, DeduplicationScope.ALL, 0, 500, 0, 1_500, 9, 0, false),
                new RequestClass("flow", Idempotency.SAFE, DeduplicationScope.ALL, 0, 200, 0, 2_000, 2, 0.5, true));
        List<Tenant> tenants = name.equals("tenants") || name.equals("peers")
                ? List.of(new Tenant("a", 0.5, 40), new Tenant("b", 0.3, 20), new Tenant("c", 0.2, 0))
                : List.of();
        Limits limits = new Limits(
                quiet ? 2 : 4,
                copies,
                !copies && !quiet,
                name.equals("peers") || quiet,
                name.equals("peers") || name.equals("wide"),
                !quiet,
                300,
                100,
                name.equals("wide") ? 2_000 : 15_000,
                name.equals("pushless") ? 1 : name.equals("wide") ? 3 : 100);
        Safety safety = new Safety(10_000, quiet ? 0 : 10_000, 0.3, 3, 1_000, name.equals("pushless"), copies);
        Goal goal = new Goal(0.9, 0.1, name.equals("crowd") || quiet ? 0.4 : 0, 0.01);
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
    private final class Day {
        private final Variant variant;
        private final SplittableRandom random;
        private final SplittableRandom choiceRandom;
        private final AdaptiveBalancer choice;
        private final MessageDigest digest;
        private final PriorityQueue<Due> due = new PriorityQueue<>();
        private final List<Stage> stages = new ArrayList<>();
        private final TreeMap<Long, Client> clients = new TreeMap<>();
        private long dues;
        private long requests;
        private double now = 5_000;

        Day(Variant variant, long seed) {
            this.variant = variant;
            this.random = new SplittableRandom(seed);
            this.choiceRandom = new SplittableRandom(seed + 1_000);
            this.choice = new AdaptiveBalancer(variant.settings(), choiceRandom);
            try {
                this.digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
        }

        String digest() {
            for (int i = 0; i < variant.servers(); i++) {
                stages.add(new Stage(i, i % 3 == 2 ? "z2" : "z1", i % 4, 1 + i % 3));
            }
            list(UpdateKind.CACHED);
            at(now, this::traffic);
            at(now + 400, this::weather);
            at(now + 700, this::news);
            at(now + 150, this::peers);
            for (int i = 0; i < EVENTS && !due.isEmpty(); i++) {
                Due next = due.poll();
                now = Math.max(now, next.time());
                next.task().run();
            }
            note("drawn up to " + choiceRandom.nextLong()); // as many numbers were drawn
            return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
        }

        private void at(double time, Runnable task) {
            due.add(new Due(time, dues++, task));
        }

        private void tell(Event event) {
            List<Action> actions = new ArrayList<>();
            choice.handle(now, event, actions::add);
            for (Action action : actions) {
                counts.merge(action.getClass().getSimpleName(), 1, Integer::sum);
                note(recordedForm(action));
                act(action);
            }
        }

        private void note(String line) {
            digest.update((now + " " + line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        /** The words of the recording, which stay as they were recorded whatever the types are called now. */
        private static String recordedForm(Action action) {
            if (action instanceof Send s) {
                return "Send[request=" + s.request() + ", server=" + s.server() + ", timeoutMs=" + s.timeoutMs()
                        + ", writeWithinMs=" + s.writeWithinMs() + "]";
            }
            if (action instanceof Reject r) {
                return "Refuse[request=" + r.request() + ", retryInMs=" + r.retryAfterMs() + "]";
            }
            if (action instanceof SetTimer t) {
                return "SetTimer[timer=" + t.timer() + ", afterMs=" + t.delayMs() + "]";
            }
            if (action instanceof CheckHealth c) {
                return "Probe[server=" + c.server() + "]";
            }
            if (action instanceof CloseIdleConnections c) {
                return "CloseIdle[server=" + c.server() + "]";
            }
            return action instanceof BroadcastSummary b ? Arrays.toString(b.bytes()) : action.toString();
        }

        private void act(Action action) {
            if (action instanceof SetTimer t) {
                at(now + t.delayMs(), () -> tell(new TimerFired(t.timer())));
            } else if (action instanceof Send s) {
                serve(s);
            } else if (action instanceof Cancel c) {
                Client client = clients.get(c.request());
                at(now, () -> end(client, c.attempt(), Outcome.CANCELLED, now));
            } else if (action instanceof Reject r) {
                clients.get(r.request()).over = true;
            } else if (action instanceof Fail f) {
                clients.get(f.request()).over = true;
            } else if (action instanceof Subscribe) {
                double wait = 50 + 200 * random.nextDouble();
                boolean broken = random.nextInt(3) == 0;
                at(now + wait, () -> list(broken ? UpdateKind.BROKEN : UpdateKind.FULL));
            } else if (action instanceof CheckHealth p) {
                Stage stage = stage(p.server());
                at(now + 5, () -> tell(new HealthChecked(p.server(), stage.ill < 0.3, 5, null)));
            }
        }

        private void serve(Send s) {
            Client client = clients.get(s.request());
            Stage stage = stage(s.server());
            int attempt = client.attempts++;
            client.open.add(attempt);
            client.servers.add(s.server());
            stage.busy++;
            double took = variant.workMs()
                            * stage.slow
                            * (0.3 - Math.log(1 - random.nextDouble()))
                            * (1 + stage.busy / 4.0)
                            * (1 + 0.2 * client.kind)
                    + (stage.zone.equals("z1") ? 1 : 12);
            Outcome outcome = Outcome.SERVED;
            if (random.nextDouble() < stage.ill) {
                outcome = stage.way;
                took = outcome == Outcome.TIMED_OUT ? 5_000 : outcome == Outcome.CONNECT_FAILED ? 100 : 3;
            }
            if (s.timeoutMs() > 0 && took > s.timeoutMs()) {
                took = s.timeoutMs();
                outcome = Outcome.TIMED_OUT;
            }
            if (random.nextInt(400) == 0) {
                outcome = Outcome.NEVER_SENT;
            }
            double sentAt = now;
            Outcome last = outcome;
            if (client.kind == 3 && last == Outcome.SERVED) {
                at(now + took / 2, () -> begin(client, attempt, now - sentAt));
            }
            at(now + took, () -> end(client, attempt, last, sentAt));
        }

        private void begin(Client client, int attempt, double took) {
            if (client.open.contains(attempt) && !client.over) {
                client.began = true;
                tell(new StreamStarted(client.id, attempt, took));
            }
        }

        private void end(Client client, int attempt, Outcome outcome, double sentAt) {
            if (!client.open.remove((Integer) attempt)) {
                return;
            }
            String server = client.servers.get(attempt);
            stage(server).busy--;
            client.over |= outcome == Outcome.SERVED || client.began;
            tell(new AttemptEnded(client.id, attempt, server, outcome, now - sentAt, client.over, null));
        }

        private void traffic() {
            int kind = random.nextInt(10);
            Client client = new Client(++requests, kind < 5 ? 0 : kind < 7 ? 1 : kind < 8 ? 2 : 3);
            clients.put(client.id, client);
            RequestClass rules = variant.settings().classes().get(client.kind);
            List<String> tenants = Arrays.asList("a", "b", "c", "stranger", null);
            double budget = rules.deadlineMs() * (0.3 + 0.7 * random.nextDouble());
            Double cost = random.nextInt(4) == 0 || client.kind == 1 ? null : 5 + 30 * random.nextDouble();
            String key = random.nextBoolean() ? "k" + random.nextInt(12) : null;
            tell(new RequestArrived(client.id, tenants.get(random.nextInt(5)), key, false, rules.name(), budget, cost));
            double leaves = random.nextInt(50) == 0 ? budget * random.nextDouble() : budget;
            at(now + leaves, () -> leave(client));
            double rush = now % 20_000 < 4_000 ? 0.3 : 1;
            at(now + variant.everyMs() * rush * -Math.log(1 - random.nextDouble()), this::traffic);
        }

        private void leave(Client client) {
            if (!client.over) {
                client.over = true;
                tell(new RequestAbandoned(client.id));
            }
            for (Integer attempt : List.copyOf(client.open)) {
                at(now, () -> end(client, attempt, Outcome.TIMED_OUT, now - 600));
            }
        }

        /** Servers turn slow, ill or well. */
        private void weather() {
            Stage stage = stages.get(random.nextInt(stages.size()));
            stage.slow = random.nextInt(3) == 0 ? 1 + 6 * random.nextDouble() : 1;
            stage.ill = random.nextInt(3) == 0 ? random.nextDouble() : random.nextInt(4) == 0 ? 0.05 : 0;
            List<Outcome> ways = List.of(
                    Outcome.ERROR,
                    Outcome.REJECTED,
                    Outcome.TIMED_OUT,
                    Outcome.CONNECT_FAILED,
                    Outcome.RESET,
                    Outcome.ERROR);
            stage.way = ways.get(random.nextInt(ways.size()));
            at(now + 900 * random.nextDouble(), this::weather);
        }

        /** Servers drain, go, come again as new processes, or change their cell; sometimes the list breaks. */
        private void news() {
            Stage stage = stages.get(random.nextInt(stages.size()));
            switch (random.nextInt(6)) {
                case 0 -> stage.availability = Availability.DRAINING;
                case 1 -> stage.availability = Availability.REMOVED;
                case 2 -> stage.startedAt = now - 3_000 * random.nextDouble();
                default -> stage.availability = Availability.UP;
            }
            UpdateKind[] forms = UpdateKind.values();
            list(forms[random.nextInt(forms.length)]);
            at(now + 2_500 * random.nextDouble(), this::news);
        }

        private void peers() {
            int peer = random.nextInt(-1, 5);
            List<Integer> unhealthy = stages.stream()
                    .filter(s -> s.ill > 0.2 || random.nextInt(20) == 0)
                    .map(s -> s.id.hashCode())
                    .toList();
            byte[] bytes = new PeerSummary(now - 3_500 * random.nextDouble() + 200, unhealthy).encode();
            tell(new PeerSummaryReceived(peer, random.nextInt(20) == 0 ? new byte[3] : bytes));
            at(now + 600 * random.nextDouble(), this::peers);
        }

        private void list(UpdateKind form) {
            List<Endpoint> entries = new ArrayList<>();
            for (Stage s : stages) {
                boolean told = form == UpdateKind.INCREMENTAL || s.availability != Availability.REMOVED;
                if (form != UpdateKind.BROKEN && told && (form != UpdateKind.INCREMENTAL || random.nextInt(3) == 0)) {
                    entries.add(new Endpoint(s.id, s.zone, "k", s.cell, s.availability, s.rating, s.startedAt));
                }
            }
            tell(new EndpointUpdate(form, entries));
        }

        private Stage stage(String id) {
            return stages.get(Integer.parseInt(id.substring(1)));
        }
    }

    /** Something to do at a time; those of one time in the order they were asked for. */
    private record Due(double time, long order, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A server as it truly is. */
    private static final class Stage {
        final String id;
        final String zone;
        final long cell;
        final double rating;
        Availability availability = Availability.UP;
        Double startedAt;
        Outcome way = Outcome.ERROR;
        double slow = 1;
        double ill;
        int busy;

        Stage(int number, String zone, long cell, double rating) {
            this.id = "s" + number;
            this.zone = zone;
            this.cell = cell;
            this.rating = rating;
        }
    }

    /** A request as its client sees it. */
    private static final class Client {
        final long id;
        final int kind;
        final List<Integer> open = new ArrayList<>();
        final List<String> servers = new ArrayList<>();
        int attempts;
        boolean over;
        boolean began;

        Client(long id, int kind) {
            this.id = id;
            this.kind = kind;
        }
    }
}
