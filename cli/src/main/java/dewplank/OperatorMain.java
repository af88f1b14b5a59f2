package dewplank;

import dewplank.client.NoAnswerException;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The operators' command line. Apart from {@link Main}, so that the programs load nothing of it. */
final class OperatorMain {
    private static final int DONE = 0;
    private static final int REFUSED = 1;
    private static final int WRONG_COMMAND_LINE = 2;
    private static final int NO_ANSWER = 3;

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "fleet", impl = OperatorCommands.Fleet.class),
        @SubCommand(name = "check-settings", impl = OperatorCommands.CheckSettings.class),
    })
    private Commands.Command command;

    private OperatorMain() {}

    /** 0: done; 1: refused or not found; 2: wrong command line; 3: no control sidecar answered. */
    static int run(List<String> args) {
        OperatorMain main = new OperatorMain();
        try {
            new CmdLineParser(main).parseArgument(args);
            main.command.run();
            return DONE;
        } catch (CmdLineException | OperatorCommands.WrongUseException e) {
            System.err.println("dewplank: " + e.getMessage() + "\n" + Help.usage(args));
            return WRONG_COMMAND_LINE;
        } catch (NoAnswerException e) {
            return failed(NO_ANSWER, e);
        } catch (InvalidInputException | IOException e) {
            return failed(REFUSED, e);
        } catch (InterruptedException e) {
            return REFUSED;
        }
    }

    private static int failed(int code, Exception e) {
        System.err.println("dewplank: " + e.getMessage());
        return code;
    }
}
