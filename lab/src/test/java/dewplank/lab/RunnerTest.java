package dewplank.lab;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import dewplank.settings.InvalidInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

public class RunnerTest {
    private static Experiment experiment() {
        return Experiment.of(TomlFile.read(
                """
            name = "e"
            scenarios = ["crash", "overload"]
            policies = ["choice", "two-choices", "oracle"]
            seeds = 2
            length_s = 12
            [[vary]]
            parameter = "load.share"
            values = [0.5, 0.8]
            """,
                "e.toml"));
    }

    /** Same seeds, same bytes, on one thread and on eight. */
    @Test
    public void theNumberOfThreadsDoesNotShowInTheResults() throws Exception {
        Path one = Files.createTempDirectory("one");
        Path eight = Files.createTempDirectory("eight");
        new Runner(one, 1, line -> {}).run(experiment());
        List<Result> results = new Runner(eight, 8, line -> {}).run(experiment());
        assertArrayEquals(
                Files.readAllBytes(one.resolve(Runner.TABLE)), Files.readAllBytes(eight.resolve(Runner.TABLE)));
        assertEquals(24, results.size());
        assertEquals(results.get(3).figure("service"), Runner.read(eight).get(3).figure("service"), 1e-6);
        Report.write(results, "e", "<about>", "choice", eight.resolve("report.html"));
        String html = Files.readString(eight.resolve("report.html"));
        assertTrue(html.contains("<svg") && html.contains("&lt;about&gt;") && !html.contains("http-equiv"));
    }

    @Test
    public void sidecarsThatDecideSideBySideDecideTheSame() {
        var scenario = ScenarioFile.named("deploy").with("sidecars", 40).with("length_s", 10);
        Result alone = Trial.play(scenario, "choice", 3, false).result("s", "", "choice", 3);
        Result together = Trial.play(scenario, "choice", 3, true).result("s", "", "choice", 3);
        assertEquals(alone.csvLine(), together.csvLine());
    }

    @Test
    public void whatWasFinishedStaysReadableWhenARunIsCutShort() throws Exception {
        Path folder = Files.createTempDirectory("cut");
        Thread runner = new Thread(() -> {
            try {
                new Runner(folder, 2, line -> Thread.currentThread().interrupt()).run(experiment());
            } catch (Exception e) {
                // cut short on purpose, after the first result
            }
        });
        runner.start();
        runner.join();
        List<Result> results = Runner.read(folder);
        assertTrue("kept " + results.size(), !results.isEmpty() && results.size() < 24);
        assertEquals(Result.FIGURES.size(), results.get(0).figures().size());
    }

    @Test
    public void aWrongExperimentIsRefusedBeforeAnythingRuns() {
        assertEquals(
                "x.toml:3: key policies is wrong: there is no policy best; known: choice, random, round-robin, "
                        + "least-outstanding, two-choices, oracle",
                wrong("name = \"x\"\nscenarios = [\"crash\"]\npolicies = [\"best\"]"));
        assertTrue(wrong("name = \"x\"\nscenarios = [\"nowhere\"]").contains("there is no scenario file nowhere"));
        assertTrue(wrong("name = \"x\"\nscenarios = [\"crash\"]\n[[vary]]\nparameter = \"moon\"\nvalues = [1]")
                .contains("no such parameter: moon"));
    }

    private static String wrong(String text) {
        return assertThrows(InvalidInputException.class, () -> Experiment.of(TomlFile.read(text, "x.toml")))
                .getMessage();
    }

    @Test
    public void pairsCancelWhatTheSeedsDo() {
        Statistics s = Statistics.of(List.of(0.10, 0.12, 0.11, 0.13));
        assertEquals(0.115, s.mean(), 1e-12);
        assertEquals(0.02054, s.halfWidth(), 1e-4); // t(3) = 3.182, deviation 0.01291, over the root of 4
        assertTrue(s.differs());
        assertTrue(!Statistics.of(List.of(-0.1, 0.1, 0.02)).differs());
        assertTrue(Double.isNaN(Statistics.of(List.of(1.0)).halfWidth()));
    }
}
