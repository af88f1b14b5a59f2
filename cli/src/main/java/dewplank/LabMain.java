package dewplank;

import dewplank.config.BadInput;
import dewplank.emulator.Scenario;
import dewplank.emulator.ScenarioFile;
import dewplank.lab.Auditor;
import dewplank.lab.Comparison;
import dewplank.lab.Experiment;
import dewplank.lab.Report;
import dewplank.lab.Result;
import dewplank.lab.Runner;
import dewplank.lab.Service;
import dewplank.lab.Trial;
import dewplank.lab.policies.Policies;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The laboratory's commands. Apart from {@link Main}, so that the others load nothing of the laboratory. */
final class LabMain {
    private static final String USAGE = "usage: java -jar dewplank.jar lab run FILE | lab play SCENARIO | lab show DIR | "
        + "lab compare DIR DIR | lab list";

    interface Command {
        void run() throws IOException, InterruptedException;
    }

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "run", impl = Run.class),
        @SubCommand(name = "play", impl = Play.class),
        @SubCommand(name = "show", impl = Show.class),
        @SubCommand(name = "compare", impl = Compare.class),
        @SubCommand(name = "list", impl = ListAll.class),
    })
    private Command command;

    private LabMain() { }

    /** Exit codes as {@link Main}'s. */
    static int run(List<String> args) {
        LabMain main = new LabMain();
        try {
            new CmdLineParser(main).parseArgument(args.subList(1, args.size()));
        } catch (CmdLineException e) {
            System.err.println("dewplank: " + e.getMessage() + "\n" + USAGE);
            return 2;
        }
        try {
            main.command.run();
            return 0;
        } catch (BadInput | IOException | IllegalStateException e) {
            System.err.println("dewplank: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Plays an experiment file's runs and writes table and report. */
    public static final class Run implements Command {
        @Argument(required = true, metaVar = "FILE", usage = "the experiment")
        private Path file;
        @Option(name = "--out", metaVar = "DIR", usage = "where the results go; default: the file's name in lab-results")
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
        System.out.println(results.size() + " runs; " + results.stream().filter(r -> r.figure("violations") > 0).count()
            + " broke a rule; report: " + page);
    }

    /** Plays one run and prints what clients got and what the auditor found. */
    public static final class Play implements Command {
        @Argument(required = true, metaVar = "SCENARIO", usage = "a file, or a name from 'lab list'")
        private String scenario;
        @Option(name = "--policy", metaVar = "NAME", usage = "default: choice")
        private String policy = "choice";
        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;
        @Option(name = "--set", metaVar = "KEY=VALUE", usage = "changes one figure, such as load.share=0.7")
        private List<String> changes = new ArrayList<>();
        @Option(name = "--rounds", metaVar = "N", usage = "plays it so often, to measure the emulator's speed when warm")
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
            Trial trial = Trial.play(s, policy, seed, !policy.equals("oracle"));   // its instances see what each other sent
            print(trial.service());
            System.out.println("auditor: " + trial.auditor().verdict());
            trial.auditor().kept().stream().limit(3).forEach(LabMain::print);
            double took = (System.nanoTime() - began) / 1e9;
            System.out.printf(Locale.ROOT, "%d events, %d requests in %.1f s: %.0f requests/s%n", trial.cost().events(),
                trial.auditor().asked(), took, trial.auditor().asked() / took);
        }
    }

    private static Scenario changed(Scenario s, String change) {
        int equals = change.indexOf('=');
        try {
            return s.with(change.substring(0, Math.max(0, equals)), Double.parseDouble(change.substring(equals + 1)));
        } catch (IllegalArgumentException e) {
            throw new BadInput("--set " + change + ": " + e.getMessage());
        }
    }

    static void print(Auditor.Violation v) {
        System.out.printf(Locale.ROOT, "%s at %.0f ms, request %d: %s%n%s%n", v.rule(), v.at(), v.request(), v.what(), v.line());
    }

    static void print(Service service) {
        System.out.printf(Locale.ROOT, "service %.3f, worst class %.3f, worst 10 s %.3f, refused %.3f, failed %.3f, tries %.2f%n",
            service.share(), service.worstClass(), service.worstSpell(), service.refusedShare(), service.failedShare(),
            service.triesEach());
        service.classes().forEach(c -> System.out.printf(Locale.ROOT, "  %-14s %6d asked, in aim %.3f, p50 %.0f ms, p99 %.0f ms%n",
            c.name(), c.latency().getTotalCount(), c.inAimShare(), c.latency().getValueAtPercentile(50) / 1000.0,
            c.latency().getValueAtPercentile(99) / 1000.0));
        StringBuilder line = new StringBuilder("  by second:");
        service.seconds().forEach(s -> line.append(s[0] == 0 ? " -" : String.format(Locale.ROOT, " %.0f", 100 * s[1] / s[0])));
        System.out.println(line);
    }

    /** Writes the report of a folder's results again, also of an experiment that was cut short. */
    public static final class Show implements Command {
        @Argument(required = true, metaVar = "DIR")
        private Path folder;
        @Option(name = "--baseline", metaVar = "POLICY")
        private String baseline;

        @Override
        public void run() throws IOException {
            List<Result> results = Runner.read(folder);
            if (results.isEmpty()) {
                throw new BadInput(folder + " holds no finished run");
            }
            report(results, folder.getFileName().toString(), "", baseline == null ? results.get(0).policy() : baseline, folder);
        }
    }

    /** Pairs the runs of two folders by seed and prints the differences. */
    public static final class Compare implements Command {
        @Argument(index = 0, required = true, metaVar = "DIR")
        private Path first;
        @Argument(index = 1, required = true, metaVar = "DIR")
        private Path second;
        @Option(name = "--figure", metaVar = "NAME", usage = "default: service")
        private String figure = "service";

        @Override
        public void run() {
            if (!Result.FIGURES.contains(figure)) {
                throw new BadInput("there is no figure " + figure + "; known: " + String.join(", ", Result.FIGURES));
            }
            System.out.print(Comparison.table(Comparison.folders(Runner.read(first), Runner.read(second), figure), figure));
        }
    }

    /** Prints what there is to choose from. */
    public static final class ListAll implements Command {
        @Override
        public void run() {
            System.out.println("scenarios: " + String.join(", ", ScenarioFile.names()));
            System.out.println("policies:  " + String.join(", ", Policies.names()));
            System.out.println("figures:   " + String.join(", ", Result.FIGURES));
        }
    }
}
