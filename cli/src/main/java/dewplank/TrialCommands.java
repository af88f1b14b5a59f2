package dewplank;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.lab.LiveTrial;
import dewplank.lab.Trial;
import dewplank.lab.policies.Policies;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that run single simulations, in virtual time or on loopback sockets. */
final class TrialCommands {
    private TrialCommands() {}

    /**
     * Returns the command that starts a sidecar process. It uses the JVM and the class path of this process, and keeps
     * within the memory limits of the platform.
     */
    static List<String> sidecarCommand() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-Xss512k",
                "-cp",
                System.getProperty("java.class.path"),
                "dewplank.Main",
                "serve");
    }

    /** Runs a scenario in virtual time and prints the service to clients and the violations that the auditor found. */
    public static final class Play implements Command {
        @Argument(required = true, metaVar = "SCENARIO", usage = "a file, or a name from 'lab list'")
        private String scenario;

        @Option(name = "--policy", metaVar = "NAME", usage = "default: choice")
        private String policy = "choice";

        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "changes one figure, such as load.share=0.7")
        private List<String> changes = new ArrayList<>();

        @Option(
                name = "--rounds",
                metaVar = "N",
                usage = "plays it so often, to measure the emulator's speed when warm")
        private int rounds = 1;

        @Override
        public void run() {
            for (int i = 0; i < rounds; i++) {
                runOnce();
            }
        }

        private void runOnce() {
            Scenario configured = ScenarioFile.named(scenario);
            for (String change : changes) {
                configured = withParameter(configured, change);
            }
            Policies.named(policy);
            long startedAtNs = System.nanoTime();
            Trial trial = Trial.run(
                    configured,
                    policy,
                    seed,
                    !policy.equals("oracle")); // the oracle's instances see each other's requests
            TrialOutput.print(trial);
            double seconds = (System.nanoTime() - startedAtNs) / 1e9;
            System.out.printf(
                    Locale.ROOT,
                    "%d events, %d requests in %.1f s: %.0f requests/s%n",
                    trial.cost().events(),
                    trial.auditor().requestsSent(),
                    seconds,
                    trial.auditor().requestsSent() / seconds);
        }
    }

    /** Runs scenarios in virtual time and prints the lost value by cause, for each policy. */
    public static final class Losses implements Command {
        @Argument(required = true, multiValued = true, metaVar = "SCENARIO")
        private List<String> scenarios = new ArrayList<>();

        @Option(name = "--policy", metaVar = "NAME", usage = "may be given several times; default: choice and oracle")
        private List<String> policies = new ArrayList<>();

        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "changes one figure, such as load.share=0.7")
        private List<String> changes = new ArrayList<>();

        @Override
        public void run() {
            for (String name : scenarios) {
                Scenario configured = ScenarioFile.named(name);
                for (String change : changes) {
                    configured = withParameter(configured, change);
                }
                for (String policy : policies.isEmpty() ? List.of("choice", "oracle") : policies) {
                    Trial.WithLosses split = Trial.runWithLossBreakdown(configured, policy, seed);
                    Trial trial = split.trial();
                    System.out.printf(
                            Locale.ROOT,
                            "%s, %s: service %.3f, %s%n%s",
                            configured.name(),
                            policy,
                            trial.service().valueRatio(),
                            trial.auditor().verdict(),
                            split.losses().table());
                }
            }
        }
    }

    /** Runs a scenario on loopback sockets, with each sidecar in a separate process. */
    public static final class Live implements Command {
        @Argument(required = true, metaVar = "SCENARIO", usage = "a file, or a name from 'lab list'")
        private String scenario;

        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "changes one figure, such as load.share=0.7")
        private List<String> changes = new ArrayList<>();

        @Override
        public void run() throws IOException, InterruptedException {
            Scenario configured = ScenarioFile.named(scenario);
            for (String change : changes) {
                configured = withParameter(configured, change);
            }
            TrialOutput.print(LiveTrial.run(configured, seed, sidecarCommand(), System.out::println));
        }
    }

    /** Runs scenarios in virtual time and then on sockets, and prints the service of both side by side. */
    public static final class Twin implements Command {
        @Argument(required = true, multiValued = true, metaVar = "SCENARIO")
        private List<String> scenarios = new ArrayList<>();

        @Option(name = "--seeds", metaVar = "N", usage = "runs in each driver; default: 1")
        private int seeds = 1;

        @Option(name = "--length", metaVar = "S", usage = "seconds; default: as the scenario says")
        private double length;

        @Option(name = "--out", metaVar = "FILE", usage = "a CSV table of it")
        private Path out;

        @Override
        public void run() throws IOException, InterruptedException {
            List<String> table = new ArrayList<>(
                    List.of("scenario,seed,virtual,sockets,difference,virtual_broken," + "sockets_broken,unsound"));
            for (String name : scenarios) {
                for (long seed = 1; seed <= seeds; seed++) {
                    Scenario configured = ScenarioFile.named(name);
                    configured = length > 0 ? configured.with("length_s", length) : configured;
                    Trial virtual = Trial.run(configured, "choice", seed, true);
                    Trial sockets = LiveTrial.run(configured, seed, sidecarCommand(), line -> {});
                    table.add(String.format(
                            Locale.ROOT,
                            "%s,%d,%.4f,%.4f,%.4f,%d,%d,%b",
                            configured.name(),
                            seed,
                            virtual.service().valueRatio(),
                            sockets.service().valueRatio(),
                            sockets.service().valueRatio() - virtual.service().valueRatio(),
                            virtual.auditor().violations(),
                            sockets.auditor().violations(),
                            sockets.isInvalid()));
                    System.out.println(table.get(table.size() - 1));
                    sockets.auditor().retainedViolations().stream().limit(2).forEach(TrialOutput::print);
                }
            }
            if (out != null) {
                Files.writeString(out, String.join("\n", table) + "\n");
            }
        }
    }

    /** Runs a small fleet on loopback. Requires no file, so that new users can start with it. */
    public static final class Try implements Command {
        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Override
        public void run() throws IOException, InterruptedException {
            Scenario configured = ScenarioFile.named("try");
            System.out.println(configured.servers().count() + " servers, a directory and a sidecar on loopback, "
                    + (int) (configured.lengthMs() / 1000) + " s of load; a server crashes and comes back cold");
            TrialOutput.print(LiveTrial.run(configured, seed, sidecarCommand(), System.out::println));
        }
    }

    private static Scenario withParameter(Scenario configured, String change) {
        int equals = change.indexOf('=');
        try {
            return configured.with(
                    change.substring(0, Math.max(0, equals)), Double.parseDouble(change.substring(equals + 1)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("--set " + change + ": " + e.getMessage());
        }
    }
}
