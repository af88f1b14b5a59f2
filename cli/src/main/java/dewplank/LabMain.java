package dewplank;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The laboratory's command line. Apart from {@link Main}, so that {@code serve} loads nothing of the laboratory. */
final class LabMain {
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
        @SubCommand(name = "try", impl = LabCommands.TryOut.class),
        @SubCommand(name = "load", impl = LoadCommands.Load.class),
        @SubCommand(name = "stand-in", impl = LoadCommands.Serve.class),
    })
    private Commands.Command command;

    private LabMain() {}

    /** Exit codes as {@link Main}'s. */
    static int run(List<String> args) {
        LabMain main = new LabMain();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("dewplank: " + e.getMessage() + "\n" + USAGE);
            return 2;
        }
        try {
            main.command.run();
            return 0;
        } catch (InvalidInputException | IOException | IllegalStateException e) {
            System.err.println("dewplank: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }
}
