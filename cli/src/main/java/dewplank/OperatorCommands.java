package dewplank;

import dewplank.client.Change;
import dewplank.client.ConfigurationChanges;
import dewplank.client.ConfigurationDifference;
import dewplank.client.ConfigurationText;
import dewplank.client.ControlCall;
import dewplank.client.ControlClient;
import dewplank.client.ControlResponse;
import dewplank.client.FleetText;
import dewplank.client.JsonValues;
import dewplank.client.OperatorApiAddresses;
import dewplank.client.RouteExplanation;
import dewplank.client.SettingsCheck;
import dewplank.configuration.Configuration;
import dewplank.settings.InvalidInputException;
import dewplank.settings.NodeSettings;
import dewplank.settings.ResultCode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The commands of the router fleet's operators. */
final class OperatorCommands {
    private OperatorCommands() {}

    /** A command line whose parts don't go together. */
    static final class WrongUseException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        WrongUseException(String message) {
            super(message);
        }
    }

    /** {@code fleet ...}: calls to control sidecars. */
    public static final class Fleet implements Command {
        @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "get", impl = Get.class),
            @SubCommand(name = "put", impl = Put.class),
            @SubCommand(name = "patch", impl = Patch.class),
            @SubCommand(name = "diff", impl = Diff.class),
            @SubCommand(name = "members", impl = Members.class),
            @SubCommand(name = "duties", impl = Duties.class),
            @SubCommand(name = "servers", impl = Servers.class),
            @SubCommand(name = "status", impl = Status.class),
            @SubCommand(name = "explain", impl = Explain.class),
        })
        private Command command;

        @Override
        public void run() throws IOException, InterruptedException {
            command.run();
        }
    }

    /** Reads {@code HOST:PORT,HOST:PORT}. */
    public static final class AddressesHandler extends OneArgumentOptionHandler<OperatorApiAddresses> {
        public AddressesHandler(CmdLineParser parser, OptionDef option, Setter<? super OperatorApiAddresses> setter) {
            super(parser, option, setter);
        }

        @Override
        @SuppressWarnings("deprecation") // the other constructor asks for a message of a bundle
        protected OperatorApiAddresses parse(String text) throws CmdLineException {
            try {
                return OperatorApiAddresses.parse(text);
            } catch (IllegalArgumentException e) {
                throw new CmdLineException(owner, "--at: " + e.getMessage());
            }
        }
    }

    /** What the fleet's commands have in common. */
    abstract static class FleetCommand implements Command {
        @Option(
                name = "--at",
                metaVar = "HOST:PORT[,HOST:PORT...]",
                handler = AddressesHandler.class,
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

        @Option(
                name = "--rounds",
                metaVar = "N",
                usage = "how often all of them are asked before it gives up; default: 6")
        private int rounds = 6;

        private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);

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

        final boolean json() {
            return json;
        }
    }

    /** Prints the configuration. */
    public static final class Get extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlResponse answer = new ConfigurationChanges(client()).read();
            print(answer.text(), json() ? "" : ConfigurationText.of(ConfigurationChanges.parse(answer)));
        }
    }

    private static byte[] bytes(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw InvalidInputException.of(ResultCode.FILE_UNREADABLE, "the file " + file + " can't be read: " + e);
        }
    }

    /** A change out of a file. */
    abstract static class FileChange extends FleetCommand {
        @Argument(required = true, metaVar = "FILE", usage = "the change, as JSON")
        private Path file;

        @Option(
                name = "--on",
                metaVar = "VERSION",
                usage = "the version that it builds on, 0 for the first; default: the current one, which is read first")
        private Long on;

        abstract ControlResponse send(ConfigurationChanges changes, byte[] body, Long version)
                throws IOException, InterruptedException;

        @Override
        public void run() throws IOException, InterruptedException {
            if (on != null && on < 0) {
                throw new WrongUseException("--on should be 0 or above");
            }
            ControlResponse answer = send(new ConfigurationChanges(client()), bytes(file), on);
            if (!answer.isSuccess() && json()) {
                print(answer.text(), "");
            }
            answer.requireSuccess();
            print(answer.text(), answer.result().replaceAll(": $", "") + " by " + answer.address());
        }
    }

    /** Puts a whole configuration in place. */
    public static final class Put extends FileChange {
        @Override
        ControlResponse send(ConfigurationChanges changes, byte[] body, Long version)
                throws IOException, InterruptedException {
            return changes.put(body, version);
        }
    }

    /** Changes items of the configuration. */
    public static final class Patch extends FileChange {
        @Override
        ControlResponse send(ConfigurationChanges changes, byte[] body, Long version)
                throws IOException, InterruptedException {
            return changes.patch(body, version);
        }
    }

    /** Shows what a file would change. */
    public static final class Diff extends FleetCommand {
        @Argument(required = true, metaVar = "FILE", usage = "a whole configuration, or a change with upsert or remove")
        private Path file;

        @Override
        public void run() throws IOException, InterruptedException {
            byte[] body = bytes(file);
            Configuration current = new ConfigurationChanges(client()).current();
            Configuration next = ConfigurationChanges.apply(current, body);
            List<Change> changes = ConfigurationDifference.between(current, next);
            StringBuilder text = new StringBuilder();
            changes.forEach(c -> text.append(c.line()).append('\n'));
            print(json(current, next, changes), changes.isEmpty() ? "no differences" : text.toString());
            if (current != null && next.version() <= current.version()) {
                throw InvalidInputException.of(
                        ResultCode.INVALID_CONFIGURATION, "config_version: is not above " + current.version());
            }
        }

        private static String json(Configuration current, Configuration next, List<Change> changes) {
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("from", current == null ? 0 : current.version());
            out.put("to", next.version());
            out.put("changes", changes.stream().map(Change::fields).toList());
            return JsonValues.toJson(out);
        }
    }

    /** Lists the members. */
    public static final class Members extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlResponse answer = client().call(ControlCall.get("/members")).requireSuccess();
            print(answer.text(), FleetText.members(answer));
        }
    }

    /** Tells who holds the duties. */
    public static final class Duties extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlClient client = client();
            Map<String, ControlResponse> answers = client.callEach(ControlCall.get("/duties"));
            print(FleetText.json(client.addresses(), answers), FleetText.duties(client.addresses(), answers));
        }
    }

    /** Lists servers. */
    public static final class Servers extends FleetCommand {
        @Argument(metaVar = "INSTANCE", usage = "only that one")
        private String instance;

        @Option(name = "--service", metaVar = "NAME", forbids = "--json", usage = "only those of that service")
        private String service;

        @Override
        public void run() throws IOException, InterruptedException {
            if (instance != null) {
                ControlResponse answer =
                        client().call(ControlCall.server(instance)).requireSuccess();
                print(answer.text(), FleetText.server(answer));
                return;
            }
            ControlResponse answer = client().call(ControlCall.get("/servers")).requireSuccess();
            print(answer.text(), FleetText.servers(answer, service));
        }
    }

    /** Tells quorum, version and acceptors as each control sidecar sees them. */
    public static final class Status extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlClient client = client();
            Map<String, ControlResponse> answers = client.callEach(ControlCall.get("/status"));
            print(FleetText.json(client.addresses(), answers), FleetText.status(client.addresses(), answers));
        }
    }

    /** Tells where requests go. */
    public static final class Explain extends FleetCommand {
        @Argument(index = 0, required = true, metaVar = "HOST", usage = "as in the Host header")
        private String host;

        @Argument(index = 1, required = true, metaVar = "PATH", usage = "of the request, from its first slash")
        private String path;

        @Override
        public void run() throws IOException, InterruptedException {
            if (!path.startsWith("/")) {
                throw new WrongUseException("PATH should begin with a slash");
            }
            ControlClient client = client();
            Configuration configuration = ConfigurationChanges.parse(new ConfigurationChanges(client).read());
            ControlResponse servers = client.call(ControlCall.get("/servers")).requireSuccess();
            RouteExplanation explanation = RouteExplanation.of(configuration, servers, host, path);
            print(explanation.json(), explanation.text());
        }
    }

    /** Reads a settings file as the programs do. */
    public static final class CheckSettings implements Command {
        @Argument(metaVar = "FILE", usage = "default: the file that " + NodeSettings.VARIABLE + " names")
        private Path file;

        @Override
        public void run() {
            NodeSettings settings =
                    file == null ? NodeSettings.fromEnvironment(System.getenv()) : NodeSettings.read(file);
            System.out.println(SettingsCheck.of(settings));
        }
    }
}
