package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.Scenario;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import dewplank.emulator.loopback.LoopbackRun;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** One run on loopback sockets, against sidecars that are processes of their own, judged as one in virtual time is. */
public final class LiveTrial implements LoopbackRun.Observer {
    /** On sockets each time limit is longer by so much, as the platform's protocol has it. */
    private static final double SLACK_MS = 50;

    private static final double LINE_MS = 1_000;

    private final Scenario scenario;
    private final Auditor auditor;
    private final Consumer<String> lines;
    private Service service;
    private World world;
    private double begun;
    private long asked;
    private long served;
    private long refused;
    private long others;
    private long sends;
    private int second;

    private LiveTrial(Scenario scenario, Consumer<String> lines) {
        this.scenario = scenario;
        this.auditor = new Auditor(scenario, SLACK_MS);
        this.lines = lines;
    }

    /**
     * Plays it. {@code command}: starts a sidecar. {@code lines}: gets a line of a live table each second.
     *
     * @throws IllegalStateException when a sidecar does not start, or the run does not end
     */
    public static Trial play(Scenario scenario, long seed, List<String> command, Consumer<String> lines)
            throws IOException, InterruptedException {
        Scenario onSockets = scenario.withAnswerSlack(scenario.rules().answerSlackMs() + SLACK_MS);
        LiveTrial trial = new LiveTrial(onSockets, lines);
        try (LoopbackRun run = new LoopbackRun(onSockets, seed, command, trial)) {
            LoopbackRun.Outcome outcome = run.run();
            trial.auditor.end(trial.world.now());
            if (outcome.unsound()) {
                lines.accept("UNSOUND: the emulator itself ran late, by %.0f ms at the most; run it on quieter cores"
                        .formatted(outcome.latestMs()));
            }
            if (scenario.messages().enabled()) {
                lines.accept(outcome.messages() + " datagrams between sidecars, " + outcome.messagesLost()
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
                    outcome.unsound(),
                    null);
        }
    }

    @Override
    public Clients.OutcomeListener begin(World playing) {
        world = playing;
        begun = playing.now();
        service = new Service(scenario, begun);
        lines.accept("second  asked  served  refused  failed  sends  servers up");
        world.schedule(LINE_MS, this::line);
        return service;
    }

    @Override
    public void record(RecordedEvent n) {
        auditor.record(n);
        switch (n.type()) {
            case SENT -> asked++;
            case SERVED -> served++;
            case REFUSED -> refused++;
            case FAILED, UNREACHABLE, ABANDONED -> others++;
            case RECEIVED -> sends++;
            case SERVER_DOWN -> event("server " + n.server() + (n.value() == 1 ? " went silent" : " died"));
            case SERVER_COLLAPSED -> event("server " + n.server() + " broke down, cold, under too much work");
            case SERVER_STARTED -> event("server " + n.server() + " came back, cold");
            case SIDECAR_KILLED -> event("sidecar " + n.sidecar() + " was killed");
            default -> {}
        }
    }

    private void event(String text) {
        if (world != null) {
            lines.accept(String.format(Locale.ROOT, "%6.1f  %s", (world.now() - begun) / 1000, text));
        }
    }

    private void line() {
        long up = world.servers().stream()
                .filter(s -> s.state() == Server.State.UP)
                .count();
        lines.accept(String.format(
                Locale.ROOT,
                "%6d %6d %7d %8d %7d %6d %6d of %d",
                ++second,
                asked,
                served,
                refused,
                others,
                sends,
                up,
                world.servers().size()));
        asked = served = refused = others = sends = 0;
        if (world.now() - begun < scenario.lengthMs() + LINE_MS / 2) {
            world.schedule(LINE_MS, this::line);
        }
    }
}
