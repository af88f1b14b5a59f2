package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RandomStreams;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.BalancerSettings;
import dewplank.http.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Manages the sidecars' processes. Each starts with a configuration file, is ready when its health check succeeds, and
 * is killed and restarted by faults. Used only on the loop's thread, except for {@link #startAll}.
 */
final class SidecarProcesses {
    /** Time within which the health check of a started process must succeed. */
    static final double MAX_STARTUP_MS = 30_000;

    private static final double POLL_INTERVAL_MS = 20;
    private static final double MIN_RESTART_DELAY_MS = 50;
    private static final int FIRST_INCARNATION = 0;
    private static final int RESTARTED_INCARNATION = 1;

    /** The components of the run that the processes need. */
    record RunContext(
            EmulatedEnvironment environment,
            long seed,
            RealTime time,
            List<DirectoryEndpoint> directories,
            Optional<PeerRelay> peers,
            RecordedEvent.Recorder recorder,
            Consumer<String> failureHandler) {}

    private final RunContext context;
    private final RealTime time;
    private final List<SidecarProcess> processes;
    private final List<HttpClient> httpClients;
    private int readyCount;

    /** {@code httpClients} contains an HTTP client for each process, in the same order. */
    SidecarProcesses(RunContext context, List<SidecarProcess> processes, List<HttpClient> httpClients) {
        this.context = context;
        this.time = context.time();
        this.processes = List.copyOf(processes);
        this.httpClients = List.copyOf(httpClients);
    }

    /** Starts all processes. Called once; may be called from any thread. */
    void startAll() throws IOException {
        for (int i = 0; i < processes.size(); i++) {
            start(i, FIRST_INCARNATION);
        }
    }

    /** Calls {@code whenReady} as soon as all processes are ready. */
    void awaitAllReady(Runnable whenReady) {
        double startedAtMs = time.now();
        for (int i = 0; i < processes.size(); i++) {
            awaitReady(i, startedAtMs, () -> {
                if (++readyCount == processes.size()) {
                    whenReady.run();
                }
            });
        }
    }

    /** Kills a process and restarts it after a delay. */
    void kill(int sidecar, double restartAfterMs) {
        record(Type.SIDECAR_KILLED, sidecar);
        processes.get(sidecar).kill();
        time.after(Math.max(MIN_RESTART_DELAY_MS, restartAfterMs), () -> {
            try {
                start(sidecar, RESTARTED_INCARNATION);
                awaitReady(sidecar, time.now(), () -> {});
            } catch (IOException e) {
                context.failureHandler().accept("sidecar " + sidecar + " could not be restarted: " + e.getMessage());
            }
        });
    }

    /** Kills all processes. */
    void killAll() {
        processes.forEach(SidecarProcess::kill);
    }

    private void start(int sidecar, int incarnation) throws IOException {
        processes.get(sidecar).start(configuration(sidecar, incarnation).toString());
    }

    private JsonObject configuration(int sidecar, int incarnation) throws IOException {
        EmulatedEnvironment environment = context.environment();
        DirectoryEndpoint directory = context.directories().get(sidecar);
        JsonObject config = new JsonObject();
        config.addProperty("name", "n" + sidecar);
        config.addProperty("listen", Addresses.format(processes.get(sidecar).listen()));
        config.addProperty("discovery", Addresses.format(directory.address()));
        long seed = RandomStreams.mix(context.seed() + 31L * sidecar + incarnation);
        config.addProperty("seed", Long.toHexString(seed));
        config.add(
                "known",
                directory.json(
                        environment.directory().version(),
                        true,
                        environment.directory().endpoints()));
        config.add("settings", SidecarFile.settings(BalancerSettings.of(environment.scenario(), sidecar)));
        if (context.peers().isPresent()) {
            PeerRelay peers = context.peers().get();
            config.addProperty("peer_listen", Addresses.format(peers.listen(sidecar)));
            JsonArray others = new JsonArray();
            for (int i = 0; i < processes.size(); i++) {
                others.add(Addresses.format(peers.address(sidecar, i)));
            }
            config.add("peers", others);
        }
        return config;
    }

    private void awaitReady(int sidecar, double startedAtMs, Runnable whenReady) {
        ByteBuffer healthCheck =
                MessageWriter.request("GET", "/_health", "sidecar").noBody();
        httpClients.get(sidecar).call(healthCheck, response -> {
            if (response.filter(complete -> complete.head().status() == 200).isPresent()) {
                record(Type.SIDECAR_UP, sidecar);
                whenReady.run();
            } else if (time.now() - startedAtMs > MAX_STARTUP_MS
                    || !processes.get(sidecar).isAlive()) {
                context.failureHandler().accept("sidecar " + sidecar + " did not become ready");
            } else {
                time.after(POLL_INTERVAL_MS, () -> awaitReady(sidecar, startedAtMs, whenReady));
            }
        });
    }

    private void record(Type type, int sidecar) {
        context.recorder().record(new RecordedEvent(time.now(), type, -1, -1, sidecar, -1, 0));
    }
}
