package dewplank.lab;

import dewplank.lab.Experiment.Job;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Plays an experiment's runs over some threads, one run a thread. Each result is on disk as soon as it is there, in a
 * file beside the table; the table itself is replaced whole, in the jobs' order, so that the same experiment gives the
 * same bytes on any number of threads. What was finished when a run was cut short stays readable.
 */
public final class Runner {
    static final String TABLE = "runs.csv";
    static final String PARTIAL_TABLE = "runs.part.csv";

    private final Path folder;
    private final int threads;
    private final Consumer<String> progress;

    public Runner(Path folder, int threads, Consumer<String> progress) {
        this.folder = folder;
        this.threads = threads;
        this.progress = progress;
    }

    /** Plays all; the results in the jobs' order. A run that breaks ends the experiment with its seed named. */
    public List<Result> run(Experiment experiment) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(TABLE));
        List<Job> jobs = experiment.jobs();
        Result[] results = new Result[jobs.size()];
        ExecutorService executor = Executors.newFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "trial");
            thread.setDaemon(true);
            return thread;
        });
        try (Writer partialTable = Files.newBufferedWriter(folder.resolve(PARTIAL_TABLE))) {
            partialTable.write(Result.csvHeader() + "\n");
            ExecutorCompletionService<Integer> completions = new ExecutorCompletionService<>(executor);
            for (int i = 0; i < jobs.size(); i++) {
                int index = i;
                completions.submit(() -> {
                    results[index] = play(jobs.get(index));
                    return index;
                });
            }
            for (int finished = 1; finished <= jobs.size(); finished++) {
                Result result = results[indexOf(completions.take())];
                partialTable.write(result.csvLine() + "\n");
                partialTable.flush();
                progress.accept("%d of %d: %s %s seed %d: service %.3f%s"
                        .formatted(
                                finished,
                                jobs.size(),
                                result.cellName(),
                                result.policy(),
                                result.seed(),
                                result.figure("service"),
                                result.figure("violations") > 0 ? ", RULES BROKEN" : ""));
            }
        } finally {
            executor.shutdownNow();
        }
        List<Result> all = Arrays.stream(results).filter(Objects::nonNull).toList();
        write(all, folder);
        Files.deleteIfExists(folder.resolve(PARTIAL_TABLE));
        return all;
    }

    private static Result play(Job job) {
        try {
            return Trial.play(job.cell().scenario(), job.policy(), job.seed(), false)
                    .result(job.cell().scenarioName(), job.cell().parameters(), job.policy(), job.seed());
        } catch (RuntimeException e) {
            throw new IllegalStateException(
                    "scenario " + job.cell().scenarioName() + " " + job.cell().parameters() + ", policy " + job.policy()
                            + ", seed " + job.seed() + ": " + e,
                    e);
        }
    }

    private static int indexOf(Future<Integer> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException r ? r : new IllegalStateException(e.getCause());
        }
    }

    static void write(List<Result> results, Path folder) throws IOException {
        List<String> lines = new ArrayList<>(List.of(Result.csvHeader()));
        results.forEach(r -> lines.add(r.csvLine()));
        Path temporary = folder.resolve(TABLE + ".new");
        Files.writeString(temporary, String.join("\n", lines) + "\n");
        Files.move(temporary, folder.resolve(TABLE), StandardCopyOption.ATOMIC_MOVE);
    }

    /** What a folder holds, of an experiment that ended or of one that was cut short. */
    public static List<Result> read(Path folder) {
        Path table = folder.resolve(TABLE);
        Path file = Files.exists(table) ? table : folder.resolve(PARTIAL_TABLE);
        try {
            return Result.parseTable(Files.readAllLines(file), file.toString());
        } catch (IOException e) {
            throw new InvalidInputException(
                    folder + " holds no results: neither " + TABLE + " nor " + PARTIAL_TABLE + " can be read");
        }
    }
}
