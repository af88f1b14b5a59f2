package dewplank.emulator.loopback;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Clients;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.FaultInjector;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.Scenario;
import dewplank.net.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A run in real time, with the scenario's model on loopback sockets and a process for each sidecar. All state is
 * confined to the loop's thread. Another thread calls {@link #run} once and then {@link #close} once.
 */
public final class LoopbackRun implements Closeable {
    private static final System.Logger LOG = System.getLogger(LoopbackRun.class.getName());
    private static final double POLL_INTERVAL_MS = 20;
    private static final double END_SLACK_MS = 1_000;
    private static final double MAX_EFFECT_DELAY_MS = 2_000;
    private static final double RUN_SLACK_MS = 10_000;
    private static final int MAX_CONNECTIONS = 10_000;

    /** Collects the run's events and outcomes; called on the loop's thread. */
    public interface Observer extends RecordedEvent.Recorder {
        /** Called when the sidecars are ready, before the clients start; returns the listener for request outcomes. */
        Clients.OutcomeListener begin(EmulatedEnvironment environment);
    }

    /**
     * The counters and the validity of a run; the recorded events are reported separately.
     *
     * @param sends requests that servers received
     * @param handshakes connections from clients to sidecars
     * @param directoryCalls calls to the directory
     * @param directoryLines lines that the directory sent
     * @param datagrams delivered datagrams with summaries between sidecars
     * @param datagramsLost lost datagrams with summaries between sidecars
     * @param maxLatenessMs the maximum delay of the emulator's timers
     * @param isInvalid whether the run is invalid, as the emulator's delays were too long for the figures to describe
     *     the sidecars
     */
    public record Outcome(
            long sends,
            long handshakes,
            long directoryCalls,
            long directoryLines,
            long datagrams,
            long datagramsLost,
            double maxLatenessMs,
            boolean isInvalid) {}

    private final Scenario scenario;
    private final Observer observer;
    private final EventLoop loop = new EventLoop();
    private final RealTime time = new RealTime(loop);
    private final EmulatedEnvironment environment;
    private final List<ServerEndpoint> servers = new ArrayList<>();
    private final List<HttpClient> httpClients = new ArrayList<>();
    private final SidecarClients sidecarClients;
    private final SidecarProcesses sidecars;
    private final Optional<PeerRelay> peers;
    private final Path folder;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private Clients clients;
    private long receivedCount;

    /**
     * Opens the model's sockets; starts no sidecar.
     *
     * @param command starts a sidecar, which reads the file whose path is in the variable {@code GW_CONFIG}
     */
    public LoopbackRun(Scenario scenario, long seed, List<String> command, Observer observer) throws IOException {
        this.scenario = scenario;
        this.observer = observer;
        this.folder = Files.createTempDirectory("dewplank-lab");
        this.environment = new EmulatedEnvironment(scenario, seed, time, this::record);
        this.sidecarClients = new SidecarClients(environment, httpClients, this::onOutcome);
        try {
            for (int i = 0; i < environment.servers().size(); i++) {
                servers.add(new ServerEndpoint(
                        loop, environment, environment.servers().get(i), sidecarClients.attempts()));
            }
            List<DirectoryEndpoint> directories = new ArrayList<>();
            List<SidecarProcess> processes = new ArrayList<>();
            for (int i = 0; i < scenario.sidecars(); i++) {
                directories.add(new DirectoryEndpoint(loop, environment, i, (sidecar, server) -> servers.get(server)
                        .address(sidecar)));
                SidecarProcess process = new SidecarProcess(command, folder, i, Addresses.sidecar(i));
                processes.add(process);
                httpClients.add(new HttpClient(loop, process.listen(), MAX_CONNECTIONS));
            }
            peers = scenario.peerMessages().enabled()
                    ? Optional.of(new PeerRelay(loop, environment, scenario.sidecars()))
                    : Optional.empty();
            sidecars = new SidecarProcesses(
                    new SidecarProcesses.RunContext(
                            environment, seed, time, directories, peers, this::record, this::fail),
                    processes,
                    httpClients);
        } catch (IOException | RuntimeException e) {
            loop.stop();
            throw e;
        }
    }

    /** The folder with the sidecars' logs. */
    public Path folder() {
        return folder;
    }

    /**
     * Starts the sidecars, runs the scenario, and waits until all requests of clients have ended.
     *
     * @throws IllegalStateException if a sidecar or server does not start, or the run does not end in time
     */
    public Outcome run() throws IOException, InterruptedException {
        sidecars.startAll();
        loop.execute(() -> sidecars.awaitAllReady(this::begin));
        awaitFinish();
        return new Outcome(
                receivedCount,
                httpClients.stream().mapToLong(HttpClient::openedConnections).sum(),
                environment.directory().calls(),
                environment.directory().linesSent(),
                peers.map(PeerRelay::delivered).orElse(0L),
                peers.map(PeerRelay::lost).orElse(0L),
                time.maxLatenessMs(),
                time.isRunInvalid());
    }

    private void awaitFinish() throws InterruptedException {
        long maxRunMs = (long) (SidecarProcesses.MAX_STARTUP_MS
                + scenario.lengthMs()
                + 3 * scenario.longestDeadlineMs()
                + RUN_SLACK_MS);
        try {
            finished.get(maxRunMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw failure("the run did not end within " + maxRunMs + " ms", e);
        } catch (ExecutionException e) {
            throw failure(e.getCause().getMessage(), e);
        }
    }

    private IllegalStateException failure(String message, Exception cause) {
        return new IllegalStateException(message + "; the sidecars' logs are in " + folder, cause);
    }

    private void fail(String message) {
        finished.completeExceptionally(new IllegalStateException(message));
    }

    /** Kills the sidecars and closes the model's sockets. */
    @Override
    public void close() {
        sidecars.killAll();
        loop.execute(time::discardTasks);
        loop.stop();
        if (peers.isPresent()) {
            try {
                peers.get().close();
            } catch (IOException e) {
                LOG.log(System.Logger.Level.WARNING, "could not close the network between sidecars: {0}", e.toString());
            }
        }
    }

    private void begin() {
        clients = new Clients(environment, sidecarClients, observer.begin(environment));
        FaultInjector.schedule(environment, sidecars::kill);
        time.monitorLateness();
        clients.start();
        double endAtMs = time.now() + scenario.lengthMs();
        time.after(scenario.lengthMs(), () -> awaitEnd(endAtMs + 2 * scenario.longestDeadlineMs() + END_SLACK_MS));
    }

    private void awaitEnd(double deadlineMs) {
        if (clients.openRequests() == 0 || time.now() > deadlineMs) {
            double effectDelayMs = Math.min(MAX_EFFECT_DELAY_MS, scenario.longestDeadlineMs());
            time.after(effectDelayMs, () -> finished.complete(null)); // to record late effects at servers
        } else {
            time.after(POLL_INTERVAL_MS, () -> awaitEnd(deadlineMs));
        }
    }

    private void onOutcome(ClientAttempt attempt, Type type, double value) {
        clients.onAttemptEnded(attempt, type, value);
    }

    /** Records an event, and stops or restarts a server's sockets when the model stops or starts its process. */
    private void record(RecordedEvent event) {
        receivedCount += event.type() == Type.RECEIVED ? 1 : 0;
        observer.record(event);
        if (event.type() == Type.SERVER_DOWN && event.value() == 0) {
            loop.execute(() -> servers.get(event.server()).stop());
        } else if (event.type() == Type.SERVER_STARTED) {
            loop.execute(() -> restart(event.server()));
        }
    }

    private void restart(int server) {
        try {
            servers.get(server).restart();
        } catch (IOException e) {
            fail("server " + server + " can't reopen its listeners: " + e.getMessage());
        }
    }
}
