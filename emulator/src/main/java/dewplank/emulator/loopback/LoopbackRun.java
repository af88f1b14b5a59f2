package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Clients;
import dewplank.emulator.FaultInjector;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.World;
import dewplank.emulator.scenario.BalancerSettings;
import dewplank.http.MessageWriter;
import dewplank.http.ResponseParser;
import dewplank.net.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One run in real time: the scenario's world on loopback sockets, and a sidecar process for each of its sidecars. State
 * is the loop's; {@link #run} is called once, from another thread.
 */
public final class LoopbackRun implements Clients.SidecarConnector, Closeable {
    private static final System.Logger LOG = System.getLogger(LoopbackRun.class.getName());
    private static final double POLL_INTERVAL_MS = 20;
    private static final double MAX_STARTUP_MS = 30_000;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final double ATTEMPT_RETENTION_MS = 10_000;

    /** Makes the figures as the parties act; both are called on the loop's thread. */
    public interface Observer extends RecordedEvent.Recorder {
        Clients.OutcomeListener begin(World world);
    }

    /** What a run was like beside what its notes say. */
    public record Outcome(
            long sends,
            long handshakes,
            long directoryCalls,
            long directoryLines,
            long datagrams,
            long datagramsLost,
            double maxLatenessMs,
            boolean isUnsound) {}

    private final Scenario scenario;
    private final long seed;
    private final Observer observer;
    private final EventLoop loop = new EventLoop();
    private final RealTime time = new RealTime(loop);
    private final World world;
    private final Map<Long, ClientAttempt> attempts = new HashMap<>();
    private final Map<Long, HttpClient.Call> calls = new HashMap<>();
    private final List<ServerEndpoint> servers = new ArrayList<>();
    private final List<DirectoryEndpoint> directories = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<HttpClient> frontends = new ArrayList<>();
    private final PeerRelay peers; // null where sidecars may not talk
    private final Path folder;
    private final CountDownLatch finished = new CountDownLatch(1);
    private Clients clients;
    private long receivedCount;
    private int readyCount;
    private volatile String failure;

    /** {@code command}: starts a sidecar that reads {@code GW_CONFIG}. */
    public LoopbackRun(Scenario scenario, long seed, List<String> command, Observer observer) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.observer = observer;
        this.folder = Files.createTempDirectory("dewplank-lab");
        this.world = new World(scenario, seed, time, this::record);
        try {
            for (int i = 0; i < world.servers().size(); i++) {
                servers.add(new ServerEndpoint(loop, world, world.servers().get(i), attempts));
            }
            for (int i = 0; i < scenario.sidecars(); i++) {
                directories.add(new DirectoryEndpoint(
                        loop, world, i, (s, n) -> servers.get(n).address(s)));
                SidecarProcess process = new SidecarProcess(command, folder, i, Addresses.sidecar(i));
                sidecars.add(process);
                frontends.add(new HttpClient(loop, process.listen(), MAX_CONNECTIONS));
            }
            peers = scenario.peerMessages().enabled() ? new PeerRelay(loop, world, scenario.sidecars()) : null;
        } catch (IOException | RuntimeException e) {
            loop.stop();
            throw e;
        }
    }

    /** Where the sidecars' logs are. */
    public Path folder() {
        return folder;
    }

    /** Starts all, plays the scenario, waits until every client has its end. */
    public Outcome run() throws IOException, InterruptedException {
        for (int i = 0; i < sidecars.size(); i++) {
            start(i, 0);
        }
        loop.execute(() -> {
            double startedAtMs = time.now();
            for (int i = 0; i < sidecars.size(); i++) {
                awaitReady(i, startedAtMs, () -> {
                    if (++readyCount == sidecars.size()) {
                        begin();
                    }
                });
            }
        });
        double deadlineMs = MAX_STARTUP_MS + scenario.lengthMs() + 3 * scenario.longestDeadlineMs() + 10_000;
        if (!finished.await((long) deadlineMs, TimeUnit.MILLISECONDS) && failure == null) {
            failure = "the run did not end within " + (long) deadlineMs + " ms";
        }
        if (failure != null) {
            throw new IllegalStateException(failure + "; the sidecars' logs are in " + folder);
        }
        long opened = frontends.stream().mapToLong(HttpClient::opened).sum();
        return new Outcome(
                receivedCount,
                opened,
                world.directory().calls(),
                world.directory().linesSent(),
                peers == null ? 0 : peers.delivered(),
                peers == null ? 0 : peers.lost(),
                time.maxLatenessMs(),
                time.isUnsound());
    }

    @Override
    public void close() {
        sidecars.forEach(SidecarProcess::kill);
        loop.execute(time::end);
        loop.stop();
        if (peers != null) {
            try {
                peers.close();
            } catch (IOException e) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "the network between sidecars could not be closed: {0}",
                        e.toString());
            }
        }
    }

    // ---- sidecars -------------------------------------------------------------------------------------

    private void start(int sidecar, int incarnation) throws IOException {
        JsonObject config = new JsonObject();
        SidecarProcess process = sidecars.get(sidecar);
        config.addProperty("name", "n" + sidecar);
        config.addProperty("listen", Addresses.format(process.listen()));
        config.addProperty("discovery", Addresses.format(directories.get(sidecar).address()));
        config.addProperty("seed", Long.toHexString(dewplank.emulator.RandomStreams.mix(seed + 31L * sidecar + incarnation)));
        config.add("known", directories.get(sidecar).json(world.directory().version(), true, world.directory().endpoints()));
        config.add("settings", SidecarFile.settings(BalancerSettings.of(scenario, sidecar)));
        if (peers != null) {
            config.addProperty("peer_listen", Addresses.format(peers.listen(sidecar)));
            JsonArray others = new JsonArray();
            for (int i = 0; i < sidecars.size(); i++) {
                others.add(Addresses.format(peers.address(sidecar, i)));
            }
            config.add("peers", others);
        }
        process.start(config.toString());
    }

    private void awaitReady(int sidecar, double startedAtMs, Runnable whenReady) {
        ByteBuffer healthCheck = MessageWriter.request("GET", "/_health", "sidecar").noBody();
        frontends.get(sidecar).call(healthCheck, (answer, body) -> {
            if (answer != null && answer.status() == 200) {
                record(new RecordedEvent(time.now(), Type.SIDECAR_UP, -1, -1, sidecar, -1, 0));
                whenReady.run();
            } else if (time.now() - startedAtMs > MAX_STARTUP_MS
                    || !sidecars.get(sidecar).isAlive()) {
                failure = "sidecar " + sidecar + " did not become ready";
                finished.countDown();
            } else {
                time.after(POLL_INTERVAL_MS, () -> awaitReady(sidecar, startedAtMs, whenReady));
            }
        });
    }

    private void kill(int sidecar, double backAfterMs) {
        SidecarProcess process = sidecars.get(sidecar);
        record(new RecordedEvent(time.now(), Type.SIDECAR_KILLED, -1, -1, sidecar, -1, 0));
        process.kill();
        time.after(Math.max(50, backAfterMs), () -> {
            try {
                start(sidecar, 1);
                awaitReady(sidecar, time.now(), () -> {});
            } catch (IOException e) {
                failure = "sidecar " + sidecar + " did not start again: " + e.getMessage();
                finished.countDown();
            }
        });
    }

    // ---- the day --------------------------------------------------------------------------------------

    private void begin() {
        clients = new Clients(world, this, observer.begin(world));
        FaultInjector.schedule(world, this::kill);
        time.monitorLateness();
        clients.start();
        double end = time.now() + scenario.lengthMs();
        time.after(scenario.lengthMs(), () -> awaitEnd(end + 2 * scenario.longestDeadlineMs() + 1_000));
    }

    private void awaitEnd(double deadlineMs) {
        if (clients.openRequests() == 0 || time.now() > deadlineMs) {
            time.after(Math.min(2_000, scenario.longestDeadlineMs()), finished::countDown); // late effects show
        } else {
            time.after(POLL_INTERVAL_MS, () -> awaitEnd(deadlineMs));
        }
    }

    /** What the model says of a server is done on its sockets too. */
    private void record(RecordedEvent event) {
        receivedCount += event.type() == Type.RECEIVED ? 1 : 0;
        observer.record(event);
        if (event.type() == Type.SERVER_DOWN && event.value() == 0) {
            loop.execute(() -> servers.get(event.server()).stop());
        } else if (event.type() == Type.SERVER_STARTED) {
            loop.execute(() -> {
                try {
                    servers.get(event.server()).restart();
                } catch (IOException e) {
                    failure = "server " + event.server() + " can't listen again: " + e.getMessage();
                    finished.countDown();
                }
            });
        }
    }

    // ---- clients --------------------------------------------------------------------------------------

    @Override
    public void send(ClientAttempt attempt) {
        attempts.put(attempt.id(), attempt);
        world.schedule(ATTEMPT_RETENTION_MS, () -> attempts.remove(attempt.id()));
        RequestClassSpec kind = scenario.classes().get(attempt.requestClass());
        boolean safe = kind.idempotency() == Idempotency.SAFE;
        MessageWriter request = MessageWriter.request(safe ? "GET" : "POST", "/api", "api.internal")
                .header("X-Trace-Id", Long.toHexString(attempt.id()))
                .header("X-Qos", kind.name())
                .header("X-Expires-In-Ms", Long.toString(Math.max(1, Math.round(attempt.deadlineMs() - attempt.sentAtMs()))))
                .header(
                        "X-Customer",
                        attempt.tenant() < 0
                                ? null
                                : scenario.tenantsAndKeys().tenants().get(attempt.tenant()).name())
                .header("Cookie", attempt.subjectKey() < 0 ? null : "k=key-" + attempt.subjectKey())
                .header(
                        "X-Second-ClientAttempt",
                        attempt.isRetry() && scenario.clients().marksRetries() ? "1" : null)
                .header("Idempotency-Key", kind.idempotency() == Idempotency.KEYED ? Long.toHexString(attempt.key()) : null);
        ByteBuffer bytes = safe ? request.noBody() : request.body("{\"lines\":[]}".getBytes(StandardCharsets.US_ASCII));
        boolean[] hasEnded = new boolean[1];
        HttpClient.Call call = frontends.get(attempt.sidecar()).call(bytes, (answer, body) -> {
            hasEnded[0] = true;
            calls.remove(attempt.id());
            onResponse(attempt, answer, body);
        });
        if (!hasEnded[0]) {
            calls.put(attempt.id(), call);
        }
    }

    private void onResponse(ClientAttempt attempt, ResponseParser answer, byte[] body) {
        if (answer == null) {
            clients.answered(attempt, Type.UNREACHABLE, 0);
        } else if (answer.status() == 200) {
            clients.answered(attempt, Type.SERVED, madeFor(body));
        } else if (answer.status() == 429 || answer.status() == 503) {
            clients.answered(attempt, Type.REFUSED, 1000 * number(answer.headers().get("Retry-After")));
        } else {
            clients.answered(attempt, Type.FAILED, answer.status());
        }
    }

    private static double madeFor(byte[] body) {
        String text = new String(body, StandardCharsets.US_ASCII);
        return text.startsWith("made for ") ? number(text.substring("made for ".length())) : -1;
    }

    private static double number(String text) {
        try {
            return text == null ? 0 : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    @Override
    public void abandon(ClientAttempt attempt) {
        HttpClient.Call call = calls.remove(attempt.id());
        if (call != null) {
            call.cancel();
        }
    }
}
