package dewplank;

import dewplank.lab.bench.DecisionBench;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.openjdk.jmh.runner.RunnerException;

/** Commands that measure the cost of balancing decisions. */
final class BenchCommands {
    private BenchCommands() {}

    /** Measures the cost of the decision module for each request, by the number of listed servers. */
    public static final class Bench implements Command {
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
}
