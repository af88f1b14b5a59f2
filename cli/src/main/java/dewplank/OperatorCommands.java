package dewplank;

import dewplank.client.SettingsCheck;
import dewplank.settings.NodeSettings;
import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Commands for operators: {@code fleet} with its subcommands, and {@code check-settings}. */
final class OperatorCommands {
    private OperatorCommands() {}

    /** {@code fleet ...}: calls control planes. */
    public static final class Fleet implements Command {
        @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "get", impl = ConfigurationCommands.Get.class),
            @SubCommand(name = "put", impl = ConfigurationCommands.Put.class),
            @SubCommand(name = "patch", impl = ConfigurationCommands.Patch.class),
            @SubCommand(name = "diff", impl = ConfigurationCommands.Diff.class),
            @SubCommand(name = "tenants", impl = TenantCommands.Tenants.class),
            @SubCommand(name = "members", impl = FleetViewCommands.Members.class),
            @SubCommand(name = "duties", impl = FleetViewCommands.Duties.class),
            @SubCommand(name = "servers", impl = FleetViewCommands.Servers.class),
            @SubCommand(name = "status", impl = FleetViewCommands.Status.class),
            @SubCommand(name = "explain", impl = RouteCommands.Explain.class),
        })
        private Command command;

        @Override
        public void run() throws IOException, InterruptedException {
            command.run();
        }
    }

    /** Parses and checks a settings file in the same way as the programs do. */
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
