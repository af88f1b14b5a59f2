package dewplank;

import dewplank.controlplane.ControlPlane;
import dewplank.dataplane.DataPlane;
import dewplank.rehearsal.FleetRehearsal;
import dewplank.routing.Mechanism;
import dewplank.routing.Policy;
import dewplank.settings.FileWatch;
import dewplank.settings.InvalidInputException;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.kohsuke.args4j.Option;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The two programs of the router fleet. */
final class FleetCommands {
    private FleetCommands() {}

    /** Something that runs until SIGTERM. */
    private interface Ending {
        void drain() throws InterruptedException;
    }

    /** What both programs take from the command line. */
    private abstract static class Trial {
        @Option(
                name = "--without",
                metaVar = "NAME,...",
                usage = "for trials only: mechanisms of docs/policy.md that are switched off")
        private String without = "";

        final Policy policy() {
            List<Mechanism> off = new ArrayList<>();
            for (String name : without.split(",")) {
                if (!name.isBlank()) {
                    off.add(Mechanism.ofOptionName(name.strip())
                            .orElseThrow(() ->
                                    new InvalidInputException("--without " + name + ": there is no such mechanism; "
                                            + Stream.of(Mechanism.values())
                                                    .map(Mechanism::optionName)
                                                    .collect(Collectors.joining(", ")))));
                }
            }
            if (!off.isEmpty()) {
                LoggerFactory.getLogger(FleetCommands.class).warn("a trial without {}", off);
            }
            return Policy.without(off);
        }
    }

    /** The data plane: takes clients' requests. */
    public static final class RunDataPlane extends Trial implements Commands.Command {
        @Override
        public void run() throws InterruptedException {
            SettingsReload reloads = reloads();
            FileWatch file = new FileWatch(NodeSettings.path(System.getenv()));
            DataPlane plane;
            try {
                plane = new DataPlane(settings().requireDataPlaneKeys(), policy());
            } catch (IOException e) {
                throw StartFault.of(e);
            }
            onTermination(plane::drain);
            plane.start();
            reloads.run(file, () -> reload(plane::reload));
        }
    }

    /** The control plane: keeps the configuration, the members and the list of servers. */
    public static final class RunControlPlane extends Trial implements Commands.Command {
        @Override
        public void run() throws InterruptedException {
            SettingsReload reloads = reloads();
            FileWatch file = new FileWatch(NodeSettings.path(System.getenv()));
            ControlPlane plane;
            try {
                plane = new ControlPlane(settings().requireControlPlaneKeys(), policy());
            } catch (IOException | StoreException e) {
                throw StartFault.of(e);
            }
            onTermination(plane::drain);
            plane.start();
            reloads.run(file, () -> reload(plane::reload));
        }
    }

    /** Runs both programs for a moment, for the build's archive of classes. */
    public static final class Rehearse implements Commands.Command {
        @Override
        public void run() throws IOException, InterruptedException {
            try {
                FleetRehearsal.run(Path.of("target"));
            } catch (StoreException e) {
                throw new IOException(e);
            }
        }
    }

    private static NodeSettings settings() {
        return NodeSettings.fromEnvironment(System.getenv());
    }

    private static SettingsReload reloads() {
        SettingsReload reloads = new SettingsReload();
        if (reloads.signalIgnored()) {
            LoggerFactory.getLogger(FleetCommands.class).warn(SettingsReload.warning());
        }
        return reloads;
    }

    private static void onTermination(Ending ending) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                ending.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            Logs.end();
                        },
                        "drain"));
    }

    /** A settings file that can't be used must not end a program that serves. */
    private static void reload(Consumer<NodeSettings> reload) {
        Logger log = LoggerFactory.getLogger(FleetCommands.class);
        try {
            reload.accept(settings());
            log.info("settings read again");
        } catch (InvalidInputException e) {
            log.warn("reload refused, the old settings stay: {}", e.getMessage());
        }
    }
}
