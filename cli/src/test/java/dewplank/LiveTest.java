package dewplank;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.ScenarioFile;
import dewplank.lab.LiveTrial;
import dewplank.lab.Trial;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The model on sockets, against sidecars that are processes. */
public class LiveTest {

    private static Trial play(String scenario, int seconds, int sidecars, List<String> lines) throws Exception {
        return LiveTrial.play(ScenarioFile.named(scenario).with("length_s", seconds).with("sidecars", sidecars)
            .with("load.share", 0.3), 1, LabCommands.sidecarCommand(), lines::add);
    }

    @Test
    public void aServerThatCrashesAndComesBackColdBreaksNoRule() throws Exception {
        List<String> lines = new ArrayList<>();
        Trial trial = play("try", 9, 2, lines);
        assertEquals(trial.auditor().kept().toString(), 0, trial.auditor().violations());
        assertTrue("asked " + trial.service().asked(), trial.service().asked() > 500);
        assertTrue("service " + trial.service().share(), trial.service().share() > 0.5);
        assertTrue(lines.stream().anyMatch(l -> l.endsWith("died")));
        assertTrue(lines.stream().anyMatch(l -> l.endsWith("came back, cold")));
    }

    @Test
    public void aSidecarKilledInTheMiddleLosesWhatItHeldAndNoRuleIsSaidToBeBroken() throws Exception {
        List<String> lines = new ArrayList<>();
        Trial trial = play("sidecar-kill", 16, 2, lines);
        assertTrue(lines.toString(), lines.stream().anyMatch(l -> l.endsWith("was killed")));
        assertEquals(trial.auditor().kept().toString(), 0, trial.auditor().violations());
        assertTrue("failed " + trial.service().failedShare(), trial.service().failedShare() > 0);
    }
}
