package dewplank.lab;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.scenario.ScenarioFile;
import dewplank.lab.LossSplit.Cause;
import java.util.Map;
import org.junit.Test;

public class LossSplitTest {

    private static Trial split(String scenario, String policy) {
        return Trial.playSplittingLosses(ScenarioFile.named(scenario).with("length_s", 25), policy, 2);
    }

    /** What was lost and what was served make up all that was asked for, whatever the fault. */
    @Test
    public void theCausesAddUpToAllThatWasLost() {
        for (String scenario : new String[] {"overload", "sidecar-kill", "class-errors"}) {
            Trial trial = split(scenario, "choice");
            double lost = trial.losses().lostFractions().values().stream()
                    .mapToDouble(d -> d)
                    .sum();
            assertEquals(scenario, 1 - trial.service().valueRatio(), lost, 0.03); // the first second counts here only
            assertTrue(lost > 0);
        }
    }

    @Test
    public void eachFaultShowsAsItsCause() {
        Map<Cause, Double> killed = split("sidecar-kill", "choice").losses().lostFractions();
        assertTrue(killed.toString(), killed.getOrDefault(Cause.UNREACHABLE, 0.0) > 0);
        Map<Cause, Double> errors = split("class-errors", "random").losses().lostFractions();
        assertTrue(errors.toString(), errors.getOrDefault(Cause.FAILED_SENT, 0.0) > 0.02);
        assertTrue(split("overload", "choice").losses().table().contains("refused needlessly"));
    }
}
