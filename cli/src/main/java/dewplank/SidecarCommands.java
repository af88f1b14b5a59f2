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

/** The commands of the sidecar. */
final class SidecarCommands {
    private SidecarCommands() {}

    /**
     * Runs one real sidecar until SIGTERM; SIGHUP, or another time of its file, has it read its configuration again.
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
                                DrainingLogManager.end();
                            },
                            "drain"));
            sidecar.rehearse();
            sidecar.start();
            LOG.log(System.Logger.Level.INFO, "{0} serves on {1}", config.name(), sidecar.address());
            reloader.run(file, () -> reload(sidecar));
        }

        /** A file that can't be used must not end a program that serves. */
        private static void reload(Sidecar sidecar) {
            try {
                sidecar.reload(SidecarConfig.reread(System.getenv()));
            } catch (InvalidInputException e) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "reload rejected, old configuration stays cause={0}",
                        e.getMessage());
            }
        }
    }

    /**
     * Starts a sidecar on loopback with a configuration of its own, runs the common path and ends. The build has the
     * JVM keep an archive of the classes loaded meanwhile.
     */
    public static final class Rehearse implements Command {
        @Override
        public void run() throws IOException, InterruptedException {
            Sidecar sidecar = new Sidecar(SidecarConfig.forRehearsal());
            CompletableFuture<Void> done = sidecar.rehearse();
            sidecar.start();
            done.join();
            sidecar.drain();
        }
    }

    /** Hosts the module on the simulator's wire. */
    public static final class SimHost implements Command {
        @Override
        public void run() throws IOException {
            new SimulatorHost(
                            new InputStreamReader(System.in, StandardCharsets.UTF_8),
                            new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16))
                    .run();
        }
    }

    /** Reads the configuration and says whether it can be used. */
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
