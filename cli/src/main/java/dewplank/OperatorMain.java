package dewplank;

import dewplank.client.NoResponseException;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line for operators. Separate from {@link Main} so that the programs load no class of it. */
final class OperatorMain {
    private static final int NO_RESPONSE = 3;

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "fleet", impl = OperatorCommands.Fleet.class),
        @SubCommand(name = "check-settings", impl = OperatorCommands.CheckSettings.class),
    })
    private Command command;

    private OperatorMain() {}

    /** Exit codes: 0 success, 1 rejected or not found, 2 usage error, 3 no control plane gave a conclusive response. */
    static int run(List<String> args) {
        OperatorMain main = new OperatorMain();
        try {
            new CmdLineParser(main).parseArgument(args);
            main.command.run();
            return CommandLine.OK;
        } catch (CmdLineException | UsageException e) {
            CommandLine.printError(e.getMessage() + "\n" + Help.usage(OperatorMain.class, args));
            return CommandLine.USAGE_ERROR;
        } catch (NoResponseException e) {
            return fail(NO_RESPONSE, e);
        } catch (InvalidInputException | IOException e) {
            return fail(CommandLine.FAILED, e);
        } catch (InterruptedException e) {
            return CommandLine.FAILED;
        }
    }

    private static int fail(int code, Exception e) {
        CommandLine.printError(e.getMessage());
        return code;
    }
}
