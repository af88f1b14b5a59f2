package dewplank;

import dewplank.emulator.Scenario;
import dewplank.emulator.ScenarioFile;
import dewplank.lab.Auditor;
import dewplank.lab.Comparison;
import dewplank.lab.Experiment;
import dewplank.lab.LiveTrial;
import dewplank.lab.Report;
import dewplank.lab.Result;
import dewplank.lab.Runner;
import dewplank.lab.Service;
import dewplank.lab.Trial;
import dewplank.lab.bench.DecisionBench;
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
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.openjdk.jmh.runner.RunnerException;

/** The laboratory's commands. Apart from {@link Commands}, so that the others load nothing of the laboratory. */
final class LabCommands {
    private LabCommands() {}

    /** {@code lab ...}: experiments and single runs. */
    public static final class Lab implements Commands.Command {
        @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "run", impl = Run.class),
            @SubCommand(name = "play", impl = Play.class),
            @SubCommand(name = "losses", impl = Losses.class),
            @SubCommand(name = "bench", impl = Bench.class),
            @SubCommand(name = "live", impl = Live.class),
            @SubCommand(name = "twin", impl = Twin.class),
            @SubCommand(name = "show", impl = Show.class),
            @SubCommand(name = "compare", impl = Compare.class),
            @SubCommand(name = "list", impl = ListAll.class),
        })
        private Commands.Command command;

        @Override
        public void run() throws IOException, InterruptedException {
            command.run();
        }
    }

    /** How this program starts a sidecar of its own: the same JVM and class path, within the bounds of the platform's. */
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

    /** Plays an experiment file's runs and writes table and report. */
    public static final class Run implements Commands.Command {
        @Argument(required = true, metaVar = "FILE", usage = "the experiment")
        private Path file;

        @Option(
                name = "--out",
                metaVar = "DIR",
                usage = "where the results go; default: the file's name in lab-results")
        private Path out;

        @Option(name = "--threads", metaVar = "N", usage = "runs at the same time; default: the cores")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Override
        public void run() throws IOException, InterruptedException {
            Experiment experiment = Experiment.read(file);
            Path folder = out == null ? Path.of("lab-results", experiment.name()) : out;
            List<Result> results = new Runner(folder, Math.max(1, threads), System.err::println).run(experiment);
            report(results, experiment.name(), experiment.about(), experiment.baseline(), folder);
        }
    }

    private static void report(List<Result> results, String name, String about, String baseline, Path folder)
            throws IOException {
        Path page = folder.resolve("report.html");
        Report.write(results, name, about, baseline, page);
        System.out.print(Comparison.table(Comparison.policies(results, baseline, "service"), "service"));
        System.out.println(results.size() + " runs; "
                + results.stream().filter(r -> r.figure("violations") > 0).count() + " broke a rule; report: " + page);
    }

    /** Plays one run and prints what clients got and what the auditor found. */
    public static final class Play implements Commands.Command {
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
                round();
            }
        }

        private void round() {
            Scenario s = ScenarioFile.named(scenario);
            for (String change : changes) {
                s = changed(s, change);
            }
            Policies.named(policy);
            long began = System.nanoTime();
            Trial trial =
                    Trial.play(s, policy, seed, !policy.equals("oracle")); // its instances see what each other sent
            tell(trial);
            double took = (System.nanoTime() - began) / 1e9;
            System.out.printf(
                    Locale.ROOT,
                    "%d events, %d requests in %.1f s: %.0f requests/s%n",
                    trial.cost().events(),
                    trial.auditor().asked(),
                    took,
                    trial.auditor().asked() / took);
        }
    }

    /** Plays scenarios and prints what became of the worth that was lost, by policy. */
    public static final class Losses implements Commands.Command {
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
                Scenario s = ScenarioFile.named(name);
                for (String change : changes) {
                    s = changed(s, change);
                }
                for (String policy : policies.isEmpty() ? List.of("choice", "oracle") : policies) {
                    Trial trial = Trial.split(s, policy, seed);
                    System.out.printf(
                            Locale.ROOT,
                            "%s, %s: service %.3f, %s%n%s",
                            s.name(),
                            policy,
                            trial.service().share(),
                            trial.auditor().verdict(),
                            trial.losses().table());
                }
            }
        }
    }

    /** Measures what the decision module costs a request, by the number of servers listed. */
    public static final class Bench implements Commands.Command {
        @Option(name = "--forks", metaVar = "N", usage = "JVMs one after the other; default: 1")
        private int forks = 1;

        @Option(name = "--seconds", metaVar = "S", usage = "of each of eight rounds; default: 1")
        private int seconds = 1;

        @Option(name = "--out", metaVar = "FILE", usage = "a CSV table of it")
        private Path out;

        @Override
        public void run() throws IOException {
            if (forks < 1 || seconds < 1) {
                throw new InvalidInputException("--forks and --seconds should be 1 or more");
            }
            try {
                String table = DecisionBench.table(forks, seconds);
                System.out.print(table);
                if (out != null) {
                    Files.writeString(out, table);
                }
            } catch (RunnerException e) {
                throw new IOException("the benchmark did not run: " + e.getMessage(), e);
            }
        }
    }

    /** Plays one run on loopback sockets, against sidecars that are processes of their own. */
    public static final class Live implements Commands.Command {
        @Argument(required = true, metaVar = "SCENARIO", usage = "a file, or a name from 'lab list'")
        private String scenario;

        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "changes one figure, such as load.share=0.7")
        private List<String> changes = new ArrayList<>();

        @Override
        public void run() throws IOException, InterruptedException {
            Scenario s = ScenarioFile.named(scenario);
            for (String change : changes) {
                s = changed(s, change);
            }
            tell(LiveTrial.play(s, seed, sidecarCommand(), System.out::println));
        }
    }

    static void tell(Trial trial) {
        print(trial.service());
        System.out.println(
                "auditor: " + trial.auditor().verdict() + (trial.unsound() ? " (unsound: the emulator ran late)" : ""));
        trial.auditor().kept().stream().limit(3).forEach(LabCommands::print);
    }

    /** Plays scenarios in both drivers, one after the other, and prints the services side by side. */
    public static final class Twin implements Commands.Command {
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
                    Scenario s = ScenarioFile.named(name);
                    s = length > 0 ? s.with("length_s", length) : s;
                    Trial virtual = Trial.play(s, "choice", seed, true);
                    Trial sockets = LiveTrial.play(s, seed, sidecarCommand(), line -> {});
                    table.add(String.format(
                            Locale.ROOT,
                            "%s,%d,%.4f,%.4f,%.4f,%d,%d,%b",
                            s.name(),
                            seed,
                            virtual.service().share(),
                            sockets.service().share(),
                            sockets.service().share() - virtual.service().share(),
                            virtual.auditor().violations(),
                            sockets.auditor().violations(),
                            sockets.unsound()));
                    System.out.println(table.get(table.size() - 1));
                    sockets.auditor().kept().stream().limit(2).forEach(LabCommands::print);
                }
            }
            if (out != null) {
                Files.writeString(out, String.join("\n", table) + "\n");
            }
        }
    }

    /** The first command: a small fleet on loopback, no file needed. */
    public static final class TryOut implements Commands.Command {
        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Override
        public void run() throws IOException, InterruptedException {
            Scenario s = ScenarioFile.named("try");
            System.out.println(s.servers().count() + " servers, a directory and a sidecar on loopback, "
                    + (int) (s.lengthMs() / 1000) + " s of load; a server crashes and comes back cold");
            tell(LiveTrial.play(s, seed, sidecarCommand(), System.out::println));
        }
    }

    private static Scenario changed(Scenario s, String change) {
        int equals = change.indexOf('=');
        try {
            return s.with(change.substring(0, Math.max(0, equals)), Double.parseDouble(change.substring(equals + 1)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("--set " + change + ": " + e.getMessage());
        }
    }

    static void print(Auditor.Violation v) {
        System.out.printf(
                Locale.ROOT, "%s at %.0f ms, request %d: %s%n%s%n", v.rule(), v.at(), v.request(), v.what(), v.line());
    }

    static void print(Service service) {
        System.out.printf(
                Locale.ROOT,
                "service %.3f, worst class %.3f, worst tenant %.3f, worst 10 s %.3f, refused %.3f, "
                        + "failed %.3f, tries %.2f%n",
                service.share(),
                service.worstClass(),
                service.worstTenant(),
                service.worstSpell(),
                service.refusedShare(),
                service.failedShare(),
                service.triesEach());
        service.classes()
                .forEach(c -> System.out.printf(
                        Locale.ROOT,
                        "  %-14s %6d asked, in aim %.3f, p50 %.0f ms, p99 %.0f ms%n",
                        c.name(),
                        c.latency().getTotalCount(),
                        c.inAimShare(),
                        c.latency().getValueAtPercentile(50) / 1000.0,
                        c.latency().getValueAtPercentile(99) / 1000.0));
        StringBuilder line = new StringBuilder("  by second:");
        service.seconds()
                .forEach(s -> line.append(s[0] == 0 ? " -" : String.format(Locale.ROOT, " %.0f", 100 * s[1] / s[0])));
        System.out.println(line);
    }

    /** Writes the report of a folder's results again, also of an experiment that was cut short. */
    public static final class Show implements Commands.Command {
        @Argument(required = true, metaVar = "DIR")
        private Path folder;

        @Option(name = "--baseline", metaVar = "POLICY")
        private String baseline;

        @Override
        public void run() throws IOException {
            List<Result> results = Runner.read(folder);
            if (results.isEmpty()) {
                throw new InvalidInputException(folder + " holds no finished run");
            }
            report(
                    results,
                    folder.getFileName().toString(),
                    "",
                    baseline == null ? results.get(0).policy() : baseline,
                    folder);
        }
    }

    /** Pairs the runs of two folders by seed and prints the differences. */
    public static final class Compare implements Commands.Command {
        @Argument(index = 0, required = true, metaVar = "DIR")
        private Path first;

        @Argument(index = 1, required = true, metaVar = "DIR")
        private Path second;

        @Option(name = "--figure", metaVar = "NAME", usage = "default: service")
        private String figure = "service";

        @Override
        public void run() {
            if (!Result.FIGURES.contains(figure)) {
                throw new InvalidInputException(
                        "there is no figure " + figure + "; known: " + String.join(", ", Result.FIGURES));
            }
            System.out.print(
                    Comparison.table(Comparison.folders(Runner.read(first), Runner.read(second), figure), figure));
        }
    }

    /** Prints what there is to choose from. */
    public static final class ListAll implements Commands.Command {
        @Override
        public void run() {
            System.out.println("scenarios: " + String.join(", ", ScenarioFile.names()));
            System.out.println("policies:  " + String.join(", ", Policies.names()));
            System.out.println("figures:   " + String.join(", ", Result.FIGURES));
        }
    }
}
