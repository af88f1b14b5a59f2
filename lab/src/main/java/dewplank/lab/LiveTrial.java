package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.World;
import dewplank.emulator.loopback.LoopbackRun;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
import dewplank.lab.audit.Auditor;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * One run on loopback sockets, against sidecars that are separate processes, judged as one in virtual time is. The
 * run's thread calls it; results are read when the run has ended.
 */
public final class LiveTrial implements LoopbackRun.Observer {
    /** On sockets each time limit is longer by so much, as the platform's protocol has it. */
    private static final double MESSAGE_SLACK_MS = 50;
    /** Of what costs only virtual time counts. */
    private static final long NOT_COUNTED = 0;

    private final Scenario scenario;
    private final Auditor auditor;
    private final Consumer<String> output;
    private RecordedEvent.Recorder table = event -> {}; // until the world is there
    private Service service;
    private World world;

    private LiveTrial(Scenario scenario, Consumer<String> output) {
        this.scenario = scenario;
        this.auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
        this.output = output;
    }

    /**
     * Plays a run.
     *
     * @param command starts a sidecar; its configuration is appended
     * @param output gets the lines of a live table, one each second
     * @throws IllegalStateException if a sidecar does not start, or the run does not end
     */
    public static Trial play(Scenario scenario, long seed, List<String> command, Consumer<String> output)
            throws IOException, InterruptedException {
        Scenario onSockets = scenario.withAnswerSlack(scenario.rules().answerSlackMs() + MESSAGE_SLACK_MS);
        LiveTrial trial = new LiveTrial(onSockets, output);
        try (LoopbackRun run = new LoopbackRun(onSockets, seed, command, trial)) {
            return trial.judge(run.run());
        }
    }

    private Trial judge(LoopbackRun.Outcome outcome) {
        auditor.end(world.now());
        if (outcome.isUnsound()) {
            output.accept("UNSOUND: the emulator itself ran late, by %.0f ms at the most; run it on quieter cores"
                    .formatted(outcome.maxLatenessMs()));
        }
        if (scenario.peerMessages().enabled()) {
            output.accept(outcome.datagrams() + " datagrams between sidecars, " + outcome.datagramsLost()
                    + " more were lost");
        }
        Cost cost = new Cost(
                NOT_COUNTED,
                outcome.sends(),
                NOT_COUNTED,
                outcome.handshakes(),
                outcome.directoryCalls(),
                outcome.directoryLines(),
                (int) NOT_COUNTED);
        return new Trial(service, auditor, cost, outcome.isUnsound());
    }

    @Override
    public Clients.OutcomeListener begin(World playing) {
        world = playing;
        service = new Service(scenario, playing.now());
        table = new LiveTable(scenario, playing, output);
        return service;
    }

    @Override
    public void record(RecordedEvent event) {
        auditor.record(event);
        table.record(event);
    }
}
