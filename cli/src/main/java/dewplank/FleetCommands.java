package dewplank;

import dewplank.controlplane.ControlPlaneRunner;
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

/** Commands that run the programs of the router fleet. */
final class FleetCommands {
    private FleetCommands() {}

    /** A program that drains on SIGTERM. */
    private interface Drainable {
        void drain() throws InterruptedException;
    }

    /** The options of both programs. */
    private abstract static class FleetProgram {
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
                LoggerFactory.getLogger(FleetCommands.class).warn("trial mechanisms_off={}", off);
            }
            return Policy.without(off);
        }
    }

    /** Runs the data plane, which forwards clients' requests to servers. */
    public static final class RunDataPlane extends FleetProgram implements Command {
        @Override
        public void run() throws InterruptedException {
            SettingsReloader reloader = reloader();
            FileWatch file = new FileWatch(NodeSettings.path(System.getenv()));
            Policy policy = policy();
            DataPlane plane =
                    StartRetry.run(() -> DataPlane.open(readSettings(file).requireDataPlaneKeys(), policy));
            onTermination(plane::drain);
            plane.start();
            reloader.run(file, () -> reload(plane::reload));
        }
    }

    /** Runs the control plane, which stores the configuration, the members and the endpoint list. */
    public static final class RunControlPlane extends FleetProgram implements Command {
        @Override
        public void run() throws InterruptedException {
            SettingsReloader reloader = reloader();
            FileWatch file = new FileWatch(NodeSettings.path(System.getenv()));
            Policy policy = policy();
            ControlPlaneRunner runner = StartRetry.run(
                    () -> new ControlPlaneRunner(readSettings(file).requireControlPlaneKeys(), policy));
            onTermination(runner::drain);
            runner.start();
            reloader.run(file, () -> reload(runner::reload));
        }
    }

    /** Runs both programs briefly to create the class-data archive of the build. */
    public static final class Rehearse implements Command {
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

    /** Reads the settings for an attempt to start; the file may have changed since the last one. */
    private static NodeSettings readSettings(FileWatch file) {
        file.markRead();
        return settings();
    }

    private static SettingsReloader reloader() {
        SettingsReloader reloader = new SettingsReloader();
        if (reloader.isSignalIgnored()) {
            LoggerFactory.getLogger(FleetCommands.class).warn(SettingsReloader.warning());
        }
        return reloader;
    }

    private static void onTermination(Drainable program) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                program.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            DrainingLogManager.close();
                        },
                        "drain"));
    }

    /** Logs an invalid settings file instead of throwing, as it must not terminate a running program. */
    private static void reload(Consumer<NodeSettings> reload) {
        Logger log = LoggerFactory.getLogger(FleetCommands.class);
        try {
            reload.accept(settings());
            log.info("settings reloaded");
        } catch (InvalidInputException e) {
            log.warn("reload rejected, old settings stay cause={}", e.getMessage());
        } catch (RuntimeException | StackOverflowError e) { // what leaves the main thread ends the process
            log.error("reload failed, old settings stay", e);
        }
    }
}
