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

/** A command that calls control planes: common options and output. */
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
     * Returns a client for the control planes that the options specify.
     *
     * @throws UsageException if the options specify none
     */
    final ControlClient client() {
        if (at == null && settings == null) {
            throw new UsageException("no control plane is specified: use --at or --settings");
        }
        if (rounds < 1) {
            throw new UsageException("--rounds should be 1 or more");
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

    /** Prints the JSON output with --json and the text otherwise. */
    final void print(String jsonOutput, String text) {
        out.println((json ? jsonOutput : text).stripTrailing());
    }

    /** Whether --json is set. */
    final boolean json() {
        return json;
    }
}
