package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import dewplank.emulator.loopback.LoopbackRun;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
import dewplank.lab.audit.Auditor;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** One run on loopback sockets, against sidecars that are processes of their own, judged as one in virtual time is. */
public final class LiveTrial implements LoopbackRun.Observer {
    /** On sockets each time limit is longer by so much, as the platform's protocol has it. */
    private static final double SLACK_MS = 50;

    private static final double TABLE_INTERVAL_MS = 1_000;

    private final Scenario scenario;
    private final Auditor auditor;
    private final Consumer<String> output;
    private Service service;
    private World world;
    private double startedAtMs;
    private long requests;
    private long served;
    private long refused;
    private long failed;
    private long sends;
    private int tableRows;

    private LiveTrial(Scenario scenario, Consumer<String> output) {
        this.scenario = scenario;
        this.auditor = new Auditor(scenario, SLACK_MS);
        this.output = output;
    }

    /**
     * Plays it. {@code command}: starts a sidecar. {@code output}: gets a line of a live table each second.
     *
     * @throws IllegalStateException when a sidecar does not start, or the run does not end
     */
    public static Trial play(Scenario scenario, long seed, List<String> command, Consumer<String> output)
            throws IOException, InterruptedException {
        Scenario onSockets = scenario.withAnswerSlack(scenario.rules().answerSlackMs() + SLACK_MS);
        LiveTrial trial = new LiveTrial(onSockets, output);
        try (LoopbackRun run = new LoopbackRun(onSockets, seed, command, trial)) {
            LoopbackRun.Outcome outcome = run.run();
            trial.auditor.end(trial.world.now());
            if (outcome.isUnsound()) {
                output.accept("UNSOUND: the emulator itself ran late, by %.0f ms at the most; run it on quieter cores"
                        .formatted(outcome.maxLatenessMs()));
            }
            if (scenario.peerMessages().enabled()) {
                output.accept(outcome.datagrams() + " datagrams between sidecars, " + outcome.datagramsLost()
                        + " more were lost");
            }
            return new Trial(
                    trial.service,
                    trial.auditor,
                    new Cost(
                            0,
                            outcome.sends(),
                            0,
                            outcome.handshakes(),
                            outcome.directoryCalls(),
                            outcome.directoryLines(),
                            0),
                    outcome.isUnsound(),
                    null);
        }
    }

    @Override
    public Clients.OutcomeListener begin(World playing) {
        world = playing;
        startedAtMs = playing.now();
        service = new Service(scenario, startedAtMs);
        output.accept("second  asked  served  refused  failed  sends  servers up");
        world.schedule(TABLE_INTERVAL_MS, this::printTableRow);
        return service;
    }

    @Override
    public void record(RecordedEvent event) {
        auditor.record(event);
        switch (event.type()) {
            case SENT -> requests++;
            case SERVED -> served++;
            case REFUSED -> refused++;
            case FAILED, UNREACHABLE, ABANDONED -> failed++;
            case RECEIVED -> sends++;
            case SERVER_DOWN -> printEvent(
                    "server " + event.server() + (event.value() == 1 ? " went silent" : " died"));
            case SERVER_COLLAPSED -> printEvent("server " + event.server() + " broke down, cold, under too much work");
            case SERVER_STARTED -> printEvent("server " + event.server() + " came back, cold");
            case SIDECAR_KILLED -> printEvent("sidecar " + event.sidecar() + " was killed");
            default -> {}
        }
    }

    private void printEvent(String text) {
        if (world != null) {
            output.accept(String.format(Locale.ROOT, "%6.1f  %s", (world.now() - startedAtMs) / 1000, text));
        }
    }

    private void printTableRow() {
        long serversUp = world.servers().stream()
                .filter(s -> s.state() == Server.State.UP)
                .count();
        output.accept(String.format(
                Locale.ROOT,
                "%6d %6d %7d %8d %7d %6d %6d of %d",
                ++tableRows,
                requests,
                served,
                refused,
                failed,
                sends,
                serversUp,
                world.servers().size()));
        requests = served = refused = failed = sends = 0;
        if (world.now() - startedAtMs < scenario.lengthMs() + TABLE_INTERVAL_MS / 2) {
            world.schedule(TABLE_INTERVAL_MS, this::printTableRow);
        }
    }
}
