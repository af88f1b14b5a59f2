package dewplank.lab;

import dewplank.lab.Experiment.Job;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Executes the runs of an experiment on several threads, each run on one thread. Each result is appended to a partial
 * table as soon as its run finishes, so that the finished runs stay readable after an interruption. The final table is
 * written atomically and in the order of the jobs, so the same experiment gives the same bytes on any number of
 * threads.
 */
public final class Runner {
    static final String TABLE = "runs.csv";
    static final String PARTIAL_TABLE = "runs.part.csv";

    private final Path folder;
    private final int threads;
    private final Consumer<String> progress;

    /**
     * Creates a runner for one experiment.
     *
     * @param folder the folder for the results; created if it does not exist
     * @param progress receives a line for each finished run, on the thread that calls {@link #run}
     */
    public Runner(Path folder, int threads, Consumer<String> progress) {
        this.folder = folder;
        this.threads = threads;
        this.progress = progress;
    }

    /**
     * Executes all runs and returns their results in the order of the jobs.
     *
     * @throws IllegalStateException if a run fails, with its scenario, policy and seed; the other runs are stopped
     */
    public List<Result> run(Experiment experiment) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(TABLE));
        ExecutorService executor = Executors.newFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "trial");
            thread.setDaemon(true);
            return thread;
        });
        List<Result> results;
        try {
            results = runAll(experiment.jobs(), executor);
        } finally {
            executor.shutdownNow();
        }
        write(results, folder);
        Files.deleteIfExists(folder.resolve(PARTIAL_TABLE));
        return results;
    }

    private List<Result> runAll(List<Job> jobs, ExecutorService executor) throws IOException, InterruptedException {
        try (Writer partialTable = Files.newBufferedWriter(folder.resolve(PARTIAL_TABLE))) {
            partialTable.write(Result.csvHeader() + "\n");
            ExecutorCompletionService<Result> completions = new ExecutorCompletionService<>(executor);
            List<Future<Result>> runs = jobs.stream()
                    .map(job -> completions.submit(() -> execute(job)))
                    .toList();
            for (int finished = 1; finished <= runs.size(); finished++) {
                Result result = resultOf(completions.take());
                partialTable.write(result.csvLine() + "\n");
                partialTable.flush();
                progress.accept(progressLine(finished, runs.size(), result));
            }
            List<Result> inOrder = new ArrayList<>();
            for (Future<Result> run : runs) {
                inOrder.add(resultOf(run));
            }
            return inOrder;
        }
    }

    private static String progressLine(int finished, int all, Result result) {
        return "%d of %d: %s %s seed %d: service %.3f%s"
                .formatted(
                        finished,
                        all,
                        result.cellName(),
                        result.policy(),
                        result.seed(),
                        result.figure(Figure.SERVICE),
                        result.figure(Figure.VIOLATIONS) > 0 ? ", RULES BROKEN" : "");
    }

    private static Result execute(Job job) {
        Experiment.Cell cell = job.cell();
        try {
            return Trial.run(cell.scenario(), job.policy(), job.seed(), false)
                    .result(cell.scenarioName(), cell.parameters(), job.policy(), job.seed());
        } catch (RuntimeException e) { // catches any type to add the failed run to the message
            throw new IllegalStateException(
                    "scenario " + cell.scenarioName() + " " + cell.parameters() + ", policy " + job.policy() + ", seed "
                            + job.seed() + ": " + e,
                    e);
        }
    }

    private static Result resultOf(Future<Result> finished) throws InterruptedException {
        try {
            return finished.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException cause ? cause : new IllegalStateException(e.getCause());
        }
    }

    private static void write(List<Result> results, Path folder) throws IOException {
        List<String> lines = new ArrayList<>(List.of(Result.csvHeader()));
        results.forEach(result -> lines.add(result.csvLine()));
        Path temporary = folder.resolve(TABLE + ".new");
        Files.writeString(temporary, String.join("\n", lines) + "\n");
        Files.move(temporary, folder.resolve(TABLE), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Reads the results of a finished or interrupted experiment from a folder.
     *
     * @throws InvalidInputException if there are no results or they are malformed
     */
    public static List<Result> read(Path folder) {
        Path table = folder.resolve(TABLE);
        Path file = Files.exists(table) ? table : folder.resolve(PARTIAL_TABLE);
        try {
            return Result.parseTable(Files.readAllLines(file), file.toString());
        } catch (IOException e) {
            throw new InvalidInputException(
                    folder + " contains no results: neither " + TABLE + " nor " + PARTIAL_TABLE + " can be read");
        }
    }
}
