package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.loopback.LoopbackRun;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
import dewplank.lab.audit.Auditor;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * One run on loopback sockets, with sidecars in separate processes, evaluated in the same way as a run in virtual time.
 * Called on the run's thread; the results are read after the run.
 */
public final class LiveTrial implements LoopbackRun.Observer {
    /** The slack added to each time limit for runs on sockets, as the platform's protocol specifies. */
    private static final double MESSAGE_SLACK_MS = 50;
    /** The value of costs that are counted only in virtual time. */
    private static final long NOT_COUNTED = 0;

    private final Scenario scenario;
    private final Auditor auditor;
    private final Consumer<String> output;
    private RecordedEvent.Recorder table = event -> {}; // replaced when the run starts
    private ServiceMetrics service;
    private EmulatedEnvironment environment;

    private LiveTrial(Scenario scenario, Consumer<String> output) {
        this.scenario = scenario;
        this.auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
        this.output = output;
    }

    /**
     * Executes a run.
     *
     * @param command the command that starts a sidecar; its configuration is appended
     * @param output receives the lines of the live table, one each second
     * @throws IllegalStateException if a sidecar does not start or the run does not end
     */
    public static Trial run(Scenario scenario, long seed, List<String> command, Consumer<String> output)
            throws IOException, InterruptedException {
        Scenario scenarioOnSockets = scenario.withResponseSlack(scenario.rules().responseSlackMs() + MESSAGE_SLACK_MS);
        LiveTrial trial = new LiveTrial(scenarioOnSockets, output);
        try (LoopbackRun run = new LoopbackRun(scenarioOnSockets, seed, command, trial)) {
            return trial.evaluate(run.run());
        }
    }

    private Trial evaluate(LoopbackRun.Outcome outcome) {
        auditor.end(environment.now());
        if (outcome.isInvalid()) {
            output.accept("UNSOUND: the emulator itself ran up to %.0f ms late; repeat the run on less busy cores"
                    .formatted(outcome.maxLatenessMs()));
        }
        if (scenario.peerMessages().enabled()) {
            output.accept(
                    outcome.datagrams() + " datagrams between sidecars, " + outcome.datagramsLost() + " more lost");
        }
        Cost cost = new Cost(
                NOT_COUNTED,
                outcome.sends(),
                NOT_COUNTED,
                outcome.handshakes(),
                outcome.directoryCalls(),
                outcome.directoryLines(),
                (int) NOT_COUNTED);
        return new Trial(service, auditor, cost, outcome.isInvalid());
    }

    @Override
    public Clients.OutcomeListener begin(EmulatedEnvironment startedEnvironment) {
        environment = startedEnvironment;
        service = new ServiceMetrics(scenario, startedEnvironment.now());
        table = new LiveTable(scenario, startedEnvironment, output);
        return service;
    }

    @Override
    public void record(RecordedEvent event) {
        auditor.record(event);
        table.record(event);
    }
}
