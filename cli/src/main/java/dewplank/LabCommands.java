package dewplank;

import dewplank.emulator.scenario.ScenarioFile;
import dewplank.lab.Figure;
import dewplank.lab.policies.Policies;
import java.io.IOException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Commands of the laboratory. They are separate so that other commands load no class of the laboratory. */
final class LabCommands {
    private LabCommands() {}

    /** {@code lab ...}: runs experiments and single simulations. */
    public static final class Lab implements Command {
        @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "run", impl = ExperimentCommands.Run.class),
            @SubCommand(name = "play", impl = TrialCommands.Play.class),
            @SubCommand(name = "losses", impl = TrialCommands.Losses.class),
            @SubCommand(name = "bench", impl = BenchCommands.Bench.class),
            @SubCommand(name = "live", impl = TrialCommands.Live.class),
            @SubCommand(name = "twin", impl = TrialCommands.Twin.class),
            @SubCommand(name = "show", impl = ExperimentCommands.Show.class),
            @SubCommand(name = "compare", impl = ExperimentCommands.Compare.class),
            @SubCommand(name = "list", impl = ListAll.class),
        })
        private Command command;

        @Override
        public void run() throws IOException, InterruptedException {
            command.run();
        }
    }

    /** Prints the available scenarios, policies and figures. */
    public static final class ListAll implements Command {
        @Override
        public void run() {
            System.out.println("scenarios: " + String.join(", ", ScenarioFile.names()));
            System.out.println("policies:  " + String.join(", ", Policies.names()));
            System.out.println("figures:   " + Figure.columnList());
        }
    }
}
