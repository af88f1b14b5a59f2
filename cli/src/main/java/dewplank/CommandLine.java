package dewplank;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Parses a command line, runs its command on the main thread and returns the exit code. */
final class CommandLine {
    static final int OK = 0;
    static final int FAILED = 1;
    static final int USAGE_ERROR = 2;

    /** An object with annotations of args4j, whose parser sets the command. */
    interface ParsedArguments {
        /** Returns the parsed command. */
        Command command();
    }

    private CommandLine() {}

    /** Runs the command and prints an error as one line on standard error. */
    static int run(ParsedArguments arguments, String usage, List<String> args) {
        try {
            new CmdLineParser(arguments).parseArgument(args);
        } catch (CmdLineException e) {
            printError(e.getMessage() + "\n" + usage);
            return USAGE_ERROR;
        }
        try {
            arguments.command().run();
            return OK;
        } catch (InvalidInputException | IOException e) {
            printError(e.getMessage());
            return FAILED;
        } catch (InterruptedException e) {
            return FAILED;
        }
    }

    /** Prints an error on standard error with the prefix that all programs use. */
    static void printError(String message) {
        System.err.println("dewplank: " + message);
    }
}
