package dewplank;

import dewplank.lab.Comparison;
import dewplank.lab.Experiment;
import dewplank.lab.ExperimentFile;
import dewplank.lab.Figure;
import dewplank.lab.Report;
import dewplank.lab.Result;
import dewplank.lab.Runner;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that run experiments and show or compare their results. */
final class ExperimentCommands {
    private ExperimentCommands() {}

    /** Runs the experiment of a file and writes the results as a table and a report. */
    public static final class Run implements Command {
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
            Experiment experiment = ExperimentFile.read(file);
            Path folder = out == null ? Path.of("lab-results", experiment.name()) : out;
            List<Result> results = new Runner(folder, Math.max(1, threads), System.err::println).run(experiment);
            report(results, experiment.name(), experiment.about(), experiment.baseline(), folder);
        }
    }

    private static void report(List<Result> results, String name, String about, String baseline, Path folder)
            throws IOException {
        Path page = folder.resolve("report.html");
        Report.write(results, name, about, baseline, page);
        System.out.print(Comparison.table(Comparison.withBaseline(results, baseline, Figure.SERVICE), Figure.SERVICE));
        System.out.println(results.size() + " runs; "
                + results.stream().filter(r -> r.figure(Figure.VIOLATIONS) > 0).count() + " broke a rule; report: "
                + page);
    }

    /** Writes the report again from the results in a folder, which may be those of an interrupted experiment. */
    public static final class Show implements Command {
        @Argument(required = true, metaVar = "DIR")
        private Path folder;

        @Option(name = "--baseline", metaVar = "POLICY")
        private String baseline;

        @Override
        public void run() throws IOException {
            List<Result> results = Runner.read(folder);
            if (results.isEmpty()) {
                throw new InvalidInputException(folder + " contains no completed run");
            }
            report(
                    results,
                    folder.getFileName().toString(),
                    "",
                    baseline == null ? results.get(0).policy() : baseline,
                    folder);
        }
    }

    /** Pairs the runs of two folders by seed and prints the differences between them. */
    public static final class Compare implements Command {
        @Argument(index = 0, required = true, metaVar = "DIR")
        private Path first;

        @Argument(index = 1, required = true, metaVar = "DIR")
        private Path second;

        @Option(name = "--figure", metaVar = "NAME", usage = "default: service")
        private String figure = "service";

        @Override
        public void run() {
            Figure compared = Figure.ofColumn(figure)
                    .orElseThrow(() -> new InvalidInputException(
                            "there is no figure " + figure + "; known: " + Figure.columnList()));
            System.out.print(Comparison.table(
                    Comparison.ofFolders(Runner.read(first), Runner.read(second), compared), compared));
        }
    }
}
