package dewplank;

import java.util.List;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line. Exits with 2 on a usage error and with 1 on an invalid configuration or input. */
public final class Main implements CommandLine.ParsedArguments {
    private static final String USAGE = "usage: java -jar dewplank.jar serve | data-plane | control-plane | simhost"
            + " | check-config | rehearse | version\n"
            + "       for operators of the router fleet: fleet | check-settings\n"
            + "       for the laboratory: try | load | stand-in | lab\n"
            + "       COMMAND --help describes a command";
    /** Commands that {@link LabMain} runs; its classes are not loaded for other commands. */
    private static final Set<String> LAB_COMMANDS = Set.of("lab", "try", "load", "stand-in");
    /** Commands that {@link OperatorMain} runs; its classes are not loaded for other commands. */
    private static final Set<String> OPERATOR_COMMANDS = Set.of("fleet", "check-settings");

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = SidecarCommands.Serve.class),
        @SubCommand(name = "data-plane", impl = FleetCommands.RunDataPlane.class),
        @SubCommand(name = "control-plane", impl = FleetCommands.RunControlPlane.class),
        @SubCommand(name = "rehearse-fleet", impl = FleetCommands.Rehearse.class),
        @SubCommand(name = "simhost", impl = SidecarCommands.SimHost.class),
        @SubCommand(name = "check-config", impl = SidecarCommands.CheckConfig.class),
        @SubCommand(name = "rehearse", impl = SidecarCommands.Rehearse.class),
        @SubCommand(name = "version", impl = SidecarCommands.Version.class),
    })
    private Command command;

    private Main() {}

    @Override
    public Command command() {
        return command;
    }

    /** Runs the command that the arguments specify and exits with its exit code. */
    public static void main(String[] args) {
        setUpLog();
        System.exit(dispatch(List.of(args)));
    }

    private static int dispatch(List<String> args) {
        String first = args.isEmpty() ? "" : args.get(0);
        if (args.contains("--help")) {
            return Help.run(args);
        }
        if (LAB_COMMANDS.contains(first)) {
            return LabMain.run(args);
        }
        return OPERATOR_COMMANDS.contains(first) ? OperatorMain.run(args) : CommandLine.run(new Main(), USAGE, args);
    }

    /**
     * Configures the log: one line for each record on standard error. The log manager is set by name before its class
     * is loaded, since loading that class would initialise the logging system with the JDK's default manager.
     */
    private static void setUpLog() {
        System.setProperty("java.util.logging.manager", "dewplank.DrainingLogManager");
        System.setProperty(
                "java.util.logging.SimpleFormatter.format",
                "%1$tY-%1$tm-%1$tdT%1$tH:%1$tM:%1$tS.%1$tL %4$s %5$s%6$s%n");
    }
}
