package dewplank;

import dewplank.discovery.CatalogUpdate;
import dewplank.settings.FileWatch;
import dewplank.settings.InvalidInputException;
import dewplank.sidecar.Sidecar;
import dewplank.sidecar.config.SidecarConfig;
import dewplank.simhost.SimulatorHost;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Commands of the sidecar. */
final class SidecarCommands {
    private SidecarCommands() {}

    /**
     * Runs a sidecar until SIGTERM. It reloads its configuration on SIGHUP or when the attributes of the file change.
     */
    public static final class Serve implements Command {
        private static final System.Logger LOG = System.getLogger(Serve.class.getName());

        @Override
        public void run() throws IOException, InterruptedException {
            SettingsReloader reloader = new SettingsReloader();
            if (reloader.isSignalIgnored()) {
                LOG.log(System.Logger.Level.WARNING, SettingsReloader.warning());
            }
            FileWatch file = new FileWatch(SidecarConfig.file(System.getenv()));
            SidecarConfig config = SidecarConfig.fromEnvironment(System.getenv());
            Sidecar sidecar = new Sidecar(config);
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                try {
                                    sidecar.drain();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                DrainingLogManager.close();
                            },
                            "drain"));
            sidecar.warmUp();
            sidecar.start();
            LOG.log(System.Logger.Level.INFO, "{0} serves on {1}", config.name(), sidecar.address());
            reloader.run(file, () -> reload(sidecar));
        }

        /** Logs an invalid configuration instead of throwing, as it must not terminate a running program. */
        private static void reload(Sidecar sidecar) {
            try {
                sidecar.reload(SidecarConfig.readForReload(System.getenv()));
            } catch (InvalidInputException e) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "reload rejected, old configuration stays cause={0}",
                        e.getMessage());
            }
        }
    }

    /**
     * Starts a sidecar on loopback with a built-in configuration, runs the common path and exits. The build uses this
     * to create the class-data archive from the loaded classes.
     */
    public static final class Rehearse implements Command {
        @Override
        public void run() throws IOException, InterruptedException {
            Sidecar sidecar = new Sidecar(SidecarConfig.forWarmUp());
            CompletableFuture<Void> done = sidecar.warmUp();
            sidecar.start();
            done.join();
            sidecar.drain();
        }
    }

    /** Hosts instances of the decision module for the simulator, on standard input and output. */
    public static final class SimHost implements Command {
        @Override
        public void run() throws IOException {
            new SimulatorHost(
                            new InputStreamReader(System.in, StandardCharsets.UTF_8),
                            new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16))
                    .run();
        }
    }

    /** Parses the configuration and reports whether it is valid. */
    public static final class CheckConfig implements Command {
        @Override
        public void run() {
            SidecarConfig config = SidecarConfig.fromEnvironment(System.getenv());
            CatalogUpdate.of(config.initialCatalog());
            System.out.println("configuration of " + config.name() + " can be used");
        }
    }

    /** Prints the version. */
    public static final class Version implements Command {
        @Override
        public void run() {
            String version = SidecarCommands.class.getPackage().getImplementationVersion();
            System.out.println("dewplank " + (version == null ? "(not packaged)" : version));
        }
    }
}
