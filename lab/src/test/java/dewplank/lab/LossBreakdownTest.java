package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.scenario.ScenarioFile;
import dewplank.lab.LossBreakdown.Cause;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Losses are attributed to the right causes, which add up to the total lost value. */
class LossBreakdownTest {
    private static Trial.WithLosses trialWithLosses(String scenario, String policy) {
        return Trial.runWithLossBreakdown(ScenarioFile.named(scenario).with("length_s", 25), policy, 2);
    }

    private static Map<Cause, Double> lostFractions(String scenario, String policy) {
        return trialWithLosses(scenario, policy).losses().lostFractions();
    }

    /** The tolerance covers the first second, which is included in the breakdown but not in the service. */
    @ParameterizedTest
    @ValueSource(strings = {"overload", "sidecar-kill", "class-errors"})
    void theCausesAddUpToTheTotalLoss(String scenario) {
        Trial.WithLosses trialWithLosses = trialWithLosses(scenario, "choice");
        double lost = trialWithLosses.losses().lostFractions().values().stream()
                .mapToDouble(fraction -> fraction)
                .sum();
        assertEquals(1 - trialWithLosses.trial().service().valueRatio(), lost, 0.03);
        assertTrue(lost > 0);
    }

    @Test
    void requestsOfAKilledSidecarAreLostAsUnreachable() {
        Map<Cause, Double> lost = lostFractions("sidecar-kill", "choice");
        assertTrue(lost.getOrDefault(Cause.UNREACHABLE, 0.0) > 0, lost.toString());
    }

    @Test
    void requestsThatFailAtServersAreLostAsFailedAfterSending() {
        Map<Cause, Double> lost = lostFractions("class-errors", "random");
        assertTrue(lost.getOrDefault(Cause.FAILED_SENT, 0.0) > 0.02, lost.toString());
    }

    @Test
    void theTableContainsThePrintedNamesOfTheCauses() {
        assertTrue(trialWithLosses("overload", "choice").losses().table().contains("refused needlessly"));
    }
}
