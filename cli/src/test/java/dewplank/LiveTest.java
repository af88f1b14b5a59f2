package dewplank;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.lab.LiveTrial;
import dewplank.lab.Trial;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Simulations on sockets with sidecars in separate processes. */
public class LiveTest {

    /** The maximum number of runs of a scenario if the runs are invalid. */
    private static final int MAX_RUNS = 3;

    private static Scenario scenario(String name, int seconds, int sidecars) throws Exception {
        return ScenarioFile.named(name)
                .with("length_s", seconds)
                .with("sidecars", sidecars)
                .with("load.share", 0.3);
    }

    /**
     * Runs a scenario. If the run is invalid, because the emulator ran late, and has violations, it is repeated, as the
     * violations may be due to the load of the machine rather than to the sidecars. Returns the last run, valid or not.
     *
     * @param lines receives the lines that the returned run reports
     */
    private static Trial runScenario(Scenario scenario, long seed, List<String> lines) throws Exception {
        Trial trial;
        int runs = 0;
        do {
            lines.clear();
            trial = LiveTrial.run(scenario, seed, TrialCommands.sidecarCommand(), lines::add);
            runs++;
        } while (runs < MAX_RUNS && trial.isInvalid() && trial.auditor().violations() > 0);
        return trial;
    }

    @Test
    public void aServerThatCrashesAndRestartsViolatesNoRule() throws Exception {
        List<String> lines = new ArrayList<>();
        Trial trial = runScenario(scenario("try", 9, 2), 1, lines);
        assertEquals(
                trial.auditor().retainedViolations().toString(),
                0,
                trial.auditor().violations());
        assertTrue("requests " + trial.service().requests(), trial.service().requests() > 500);
        assertTrue("service " + trial.service().valueRatio(), trial.service().valueRatio() > 0.5);
        assertTrue(lines.stream().anyMatch(l -> l.endsWith("died")));
        assertTrue(lines.stream().anyMatch(l -> l.endsWith("came back, cold")));
    }

    /**
     * Four processes exchange health votes over the stand-in network, which loses one datagram in ten. A zone is lost
     * with its servers and its sidecar, and servers of another zone respond quickly with errors; later all recover.
     */
    @Test
    public void otherZonesContinueToServeWhenAZoneIsLostWithItsSidecar() throws Exception {
        Path file = Files.createTempFile("building", ".toml");
        Files.writeString(
                file,
                """
            name = "building"
            like = "buoys"
            length_s = 12
            sidecars = 4
            [messages]
            given = true
            lost = 0.1
            [[fault]]
            what = "zone_loss"
            at_s = 3
            for_s = 3
            [[fault]]
            what = "errors"
            at_s = 4
            for_s = 4
            part = 0.19
            size = 0.86
            """);
        List<String> lines = new ArrayList<>();
        Trial trial = runScenario(ScenarioFile.named(file.toString()).with("load.share", 0.3), 2, lines);
        assertEquals(
                trial.auditor().retainedViolations().toString(),
                0,
                trial.auditor().violations());
        assertEquals(3, lines.stream().filter(l -> l.endsWith("went silent")).count());
        assertEquals(
                3, lines.stream().filter(l -> l.endsWith("came back, cold")).count());
        assertEquals(1, lines.stream().filter(l -> l.endsWith("was killed")).count());
        String datagramLine = lines.stream()
                .filter(l -> l.contains("datagrams between sidecars"))
                .findFirst()
                .orElseThrow();
        assertTrue(datagramLine, Integer.parseInt(datagramLine.substring(0, datagramLine.indexOf(' '))) > 40);
        assertTrue("service " + trial.service().valueRatio(), trial.service().valueRatio() > 0.6);
    }

    @Test
    public void aKilledSidecarLosesItsRequestsInFlightAndViolatesNoRule() throws Exception {
        List<String> lines = new ArrayList<>();
        Trial trial = runScenario(scenario("sidecar-kill", 16, 2), 1, lines);
        assertTrue(lines.toString(), lines.stream().anyMatch(l -> l.endsWith("was killed")));
        assertEquals(
                trial.auditor().retainedViolations().toString(),
                0,
                trial.auditor().violations());
        assertTrue("failed " + trial.service().failedRatio(), trial.service().failedRatio() > 0);
    }
}
