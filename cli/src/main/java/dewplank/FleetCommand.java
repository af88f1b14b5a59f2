package dewplank;

import dewplank.client.ControlClient;
import dewplank.client.OperatorApiAddresses;
import dewplank.settings.InvalidInputException;
import dewplank.settings.NodeSettings;
import dewplank.settings.ResultCode;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** The options of all commands that call control planes, and how such a command prints. */
abstract class FleetCommand implements Command {
    @Option(
            name = "--at",
            metaVar = "HOST:PORT[,HOST:PORT...]",
            handler = OperatorApiAddressesHandler.class,
            usage = "the control sidecars to ask, in this order")
    private OperatorApiAddresses at;

    @Option(
            name = "--settings",
            metaVar = "FILE",
            forbids = "--at",
            usage = "instead of --at: a settings file, whose seed_nodes are asked")
    private Path settings;

    @Option(name = "--json", usage = "prints JSON instead of text to read")
    private boolean json;

    @Option(name = "--rounds", metaVar = "N", usage = "how often all of them are asked before it gives up; default: 6")
    private int rounds = 6;

    private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);

    /**
     * The client of the control planes that the options name.
     *
     * @throws WrongUseException if they name none
     */
    final ControlClient client() {
        if (at == null && settings == null) {
            throw new WrongUseException("where control sidecars are has to be said: --at or --settings");
        }
        if (rounds < 1) {
            throw new WrongUseException("--rounds should be 1 or more");
        }
        return new ControlClient(at != null ? at : seeds(settings), rounds);
    }

    private static OperatorApiAddresses seeds(Path file) {
        try {
            return OperatorApiAddresses.ofSeeds(NodeSettings.read(file).seeds());
        } catch (IllegalArgumentException e) {
            throw InvalidInputException.of(
                    ResultCode.KEY_OUT_OF_RANGE, "seed_nodes of " + file + ": " + e.getMessage());
        }
    }

    /** Prints the first with --json, and the second without. */
    final void print(String ofJson, String text) {
        out.println((json ? ofJson : text).stripTrailing());
    }

    /** Whether JSON is to be printed. */
    final boolean json() {
        return json;
    }
}
