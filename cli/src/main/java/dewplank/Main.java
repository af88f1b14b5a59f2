package dewplank;

import java.util.List;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line. Ends with 2 on a wrong command line and with 1 on wrong configuration or input. */
public final class Main implements CommandLine.Holder {
    private static final String USAGE = "usage: java -jar dewplank.jar serve | data-plane | control-plane | simhost"
            + " | check-config | rehearse | version\n"
            + "       for operators of the router fleet: fleet | check-settings\n"
            + "       for the laboratory: try | load | stand-in | lab\n"
            + "       COMMAND --help says what a command does";
    /** SidecarCommands that {@link LabMain} takes; no class of it is loaded for the others. */
    private static final Set<String> LABORATORY = Set.of("lab", "try", "load", "stand-in");
    /** SidecarCommands that {@link OperatorMain} takes, likewise. */
    private static final Set<String> OPERATORS = Set.of("fleet", "check-settings");

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

    /** Runs the command that the arguments name and ends the program with its exit code. */
    public static void main(String[] args) {
        setUpLog();
        System.exit(dispatch(List.of(args)));
    }

    private static int dispatch(List<String> args) {
        String first = args.isEmpty() ? "" : args.get(0);
        if (args.contains("--help")) {
            return Help.run(args);
        }
        if (LABORATORY.contains(first)) {
            return LabMain.run(args);
        }
        return OPERATORS.contains(first) ? OperatorMain.run(args) : CommandLine.run(new Main(), USAGE, args);
    }

    /**
     * One line a record on standard error. The manager is set by its name, before anything of its class is used:
     * loading that class starts the logging system, which then would take the JDK's own manager.
     */
    private static void setUpLog() {
        System.setProperty("java.util.logging.manager", "dewplank.DrainingLogManager");
        System.setProperty(
                "java.util.logging.SimpleFormatter.format",
                "%1$tY-%1$tm-%1$tdT%1$tH:%1$tM:%1$tS.%1$tL %4$s %5$s%6$s%n");
    }
}
