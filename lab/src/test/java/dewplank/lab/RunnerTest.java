package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Results have the same bytes on any number of threads and are readable after an interruption. */
class RunnerTest {
    private static final int RUNS = 24; // 2 scenarios, 3 policies, 2 loads, 2 seeds

    @TempDir
    private Path folder;

    private static Experiment experiment() {
        return ExperimentFile.parse(TomlFile.read(
                """
            name = "load"
            scenarios = ["crash", "overload"]
            policies = ["choice", "two-choices", "oracle"]
            seeds = 2
            length_s = 12
            [[vary]]
            parameter = "load.share"
            values = [0.5, 0.8]
            """,
                "load.toml"));
    }

    @Test
    void theSameSeedsGiveTheSameBytesOnOneThreadAndOnEight() throws Exception {
        Path oneThread = folder.resolve("one");
        Path eightThreads = folder.resolve("eight");
        new Runner(oneThread, 1, line -> {}).run(experiment());
        List<Result> results = new Runner(eightThreads, 8, line -> {}).run(experiment());
        assertArrayEquals(
                Files.readAllBytes(oneThread.resolve(Runner.TABLE)),
                Files.readAllBytes(eightThreads.resolve(Runner.TABLE)));
        assertEquals(RUNS, results.size());
        double written = results.get(3).figure(Figure.SERVICE);
        double read = Runner.read(eightThreads).get(3).figure(Figure.SERVICE);
        assertEquals(written, read, 1e-6);
        Report.write(results, "load", "<about>", "choice", eightThreads.resolve("report.html"));
        String html = Files.readString(eightThreads.resolve("report.html"));
        assertTrue(html.contains("<svg") && html.contains("&lt;about&gt;") && !html.contains("http-equiv"));
        assertTrue(html.contains("24 runs. Service: value served within the latency target over the value requested."));
        assertTrue(html.contains("<h2>Difference from choice</h2>"));
    }

    @Test
    void parallelDecisionsGiveTheSameResultAsSequentialOnes() {
        Scenario scenario = ScenarioFile.named("deploy").with("sidecars", 40).with("length_s", 10);
        Result sequential = Trial.run(scenario, "choice", 3, false).result("s", "", "choice", 3);
        Result parallel = Trial.run(scenario, "choice", 3, true).result("s", "", "choice", 3);
        assertEquals(sequential.csvLine(), parallel.csvLine());
    }

    @Test
    void finishedRunsStayReadableAfterAnInterruption() throws Exception {
        Thread runner = new Thread(() -> {
            try {
                new Runner(folder, 2, line -> Thread.currentThread().interrupt()).run(experiment());
            } catch (Exception e) {
                // interrupted deliberately after the first result
            }
        });
        runner.start();
        runner.join();
        List<Result> results = Runner.read(folder);
        assertTrue(!results.isEmpty() && results.size() < RUNS, "finished " + results.size());
        assertEquals(Figure.values().length, results.get(0).figures().size());
    }
}
