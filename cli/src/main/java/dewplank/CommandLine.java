package dewplank;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Parses a command line, runs its command and gives the exit code. On the main thread. */
final class CommandLine {
    static final int OK = 0;
    static final int FAILED = 1;
    static final int WRONG_USAGE = 2;

    /** An object with args4j's annotations, whose command is filled in by the parser. */
    interface Holder {
        /** The command that was parsed. */
        Command command();
    }

    private CommandLine() {}

    /** Runs the command; errors are printed in one line on standard error. */
    static int run(Holder holder, String usage, List<String> args) {
        try {
            new CmdLineParser(holder).parseArgument(args);
        } catch (CmdLineException e) {
            printError(e.getMessage() + "\n" + usage);
            return WRONG_USAGE;
        }
        try {
            holder.command().run();
            return OK;
        } catch (InvalidInputException | IOException e) {
            printError(e.getMessage());
            return FAILED;
        } catch (InterruptedException e) {
            return FAILED;
        }
    }

    /** Prints an error as all programs do. */
    static void printError(String message) {
        System.err.println("dewplank: " + message);
    }
}
