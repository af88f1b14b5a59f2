package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.emulator.RandomStreams;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.World;
import dewplank.emulator.scenario.BalancerSettings;
import dewplank.http.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The sidecars' processes: each starts from a configuration file, reports by its health check that it is ready, and is
 * killed and started again where a fault says so. On the loop's thread, but for {@link #startAll}.
 */
final class SidecarProcesses {
    /** How long a process may take until its health check succeeds. */
    static final double MAX_STARTUP_MS = 30_000;

    private static final double POLL_INTERVAL_MS = 20;
    private static final double MIN_RESTART_DELAY_MS = 50;
    private static final int FIRST_INCARNATION = 0;
    private static final int RESTARTED_INCARNATION = 1;

    /** What the processes use of the run. */
    record Surroundings(
            World world,
            long seed,
            RealTime time,
            List<DirectoryEndpoint> directories,
            Optional<PeerRelay> peers,
            RecordedEvent.Recorder recorder,
            Consumer<String> failureHandler) {}

    private final Surroundings surroundings;
    private final RealTime time;
    private final List<SidecarProcess> processes;
    private final List<HttpClient> frontends;
    private int readyCount;

    /** {@code frontends}: a client of each process, in their order. */
    SidecarProcesses(Surroundings surroundings, List<SidecarProcess> processes, List<HttpClient> frontends) {
        this.surroundings = surroundings;
        this.time = surroundings.time();
        this.processes = List.copyOf(processes);
        this.frontends = List.copyOf(frontends);
    }

    /** Starts all processes; called once, from any thread. */
    void startAll() throws IOException {
        for (int i = 0; i < processes.size(); i++) {
            start(i, FIRST_INCARNATION);
        }
    }

    /** Calls {@code whenReady} once all processes are ready. */
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

    /** Kills a process and starts it again. */
    void kill(int sidecar, double restartAfterMs) {
        record(Type.SIDECAR_KILLED, sidecar);
        processes.get(sidecar).kill();
        time.after(Math.max(MIN_RESTART_DELAY_MS, restartAfterMs), () -> {
            try {
                start(sidecar, RESTARTED_INCARNATION);
                awaitReady(sidecar, time.now(), () -> {});
            } catch (IOException e) {
                surroundings.failureHandler().accept("sidecar " + sidecar + " did not start again: " + e.getMessage());
            }
        });
    }

    /** Ends all processes. */
    void killAll() {
        processes.forEach(SidecarProcess::kill);
    }

    private void start(int sidecar, int incarnation) throws IOException {
        processes.get(sidecar).start(configuration(sidecar, incarnation).toString());
    }

    private JsonObject configuration(int sidecar, int incarnation) throws IOException {
        World world = surroundings.world();
        DirectoryEndpoint directory = surroundings.directories().get(sidecar);
        JsonObject config = new JsonObject();
        config.addProperty("name", "n" + sidecar);
        config.addProperty("listen", Addresses.format(processes.get(sidecar).listen()));
        config.addProperty("discovery", Addresses.format(directory.address()));
        long seed = RandomStreams.mix(surroundings.seed() + 31L * sidecar + incarnation);
        config.addProperty("seed", Long.toHexString(seed));
        config.add(
                "known",
                directory.json(
                        world.directory().version(), true, world.directory().endpoints()));
        config.add("settings", SidecarFile.settings(BalancerSettings.of(world.scenario(), sidecar)));
        if (surroundings.peers().isPresent()) {
            PeerRelay peers = surroundings.peers().get();
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
        frontends.get(sidecar).call(healthCheck, response -> {
            if (response.filter(answer -> answer.head().status() == 200).isPresent()) {
                record(Type.SIDECAR_UP, sidecar);
                whenReady.run();
            } else if (time.now() - startedAtMs > MAX_STARTUP_MS
                    || !processes.get(sidecar).isAlive()) {
                surroundings.failureHandler().accept("sidecar " + sidecar + " did not become ready");
            } else {
                time.after(POLL_INTERVAL_MS, () -> awaitReady(sidecar, startedAtMs, whenReady));
            }
        });
    }

    private void record(Type type, int sidecar) {
        surroundings.recorder().record(new RecordedEvent(time.now(), type, -1, -1, sidecar, -1, 0));
    }
}
