package dewplank;

import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line of the laboratory. Separate from {@link Main} so that {@code serve} loads no class of it. */
final class LabMain implements CommandLine.ParsedArguments {
    private static final String USAGE =
            """
        usage: java -jar dewplank.jar try [--seed N]
               java -jar dewplank.jar load URL... --rate N [--shape poisson|uniform|bursts|ramp|steps] [--seconds S] ...
               java -jar dewplank.jar stand-in HOST:PORT... [--mean-ms N] [--distribution NAME] [--cv N]
               java -jar dewplank.jar lab run FILE [--out DIR] [--threads N]
               java -jar dewplank.jar lab play SCENARIO [--policy NAME] [--seed N] [--set KEY=VALUE] [--rounds N]
               java -jar dewplank.jar lab losses SCENARIO... [--policy NAME] [--seed N] [--set KEY=VALUE]
               java -jar dewplank.jar lab live SCENARIO [--seed N] [--set KEY=VALUE]
               java -jar dewplank.jar lab twin SCENARIO... [--seeds N] [--length S] [--out FILE]
               java -jar dewplank.jar lab bench [--forks N] [--seconds S] [--out FILE]
               java -jar dewplank.jar lab show DIR | lab compare DIR DIR | lab list""";

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "lab", impl = LabCommands.Lab.class),
        @SubCommand(name = "try", impl = TrialCommands.Try.class),
        @SubCommand(name = "load", impl = LoadCommands.Load.class),
        @SubCommand(name = "stand-in", impl = LoadCommands.Serve.class),
    })
    private Command command;

    private LabMain() {}

    @Override
    public Command command() {
        return command;
    }

    /** Runs the command and returns the exit code, which has the same meaning as in {@link Main}. */
    static int run(List<String> args) {
        try {
            return CommandLine.run(new LabMain(), USAGE, args);
        } catch (IllegalStateException e) { // the laboratory failed, for example because a port is in use
            CommandLine.printError(e.getMessage());
            return CommandLine.FAILED;
        }
    }
}
