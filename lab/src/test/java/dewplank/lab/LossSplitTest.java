package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.scenario.ScenarioFile;
import dewplank.lab.LossSplit.Cause;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each cause of lost value shows under its name, and together they are all that was lost. */
class LossSplitTest {
    private static Trial.WithLosses split(String scenario, String policy) {
        return Trial.playSplittingLosses(ScenarioFile.named(scenario).with("length_s", 25), policy, 2);
    }

    private static Map<Cause, Double> lostFractions(String scenario, String policy) {
        return split(scenario, policy).losses().lostFractions();
    }

    /** The tolerance is the first second's, which counts here and not in the service. */
    @ParameterizedTest
    @ValueSource(strings = {"overload", "sidecar-kill", "class-errors"})
    void theCausesAddUpToTheWholeLoss(String scenario) {
        Trial.WithLosses split = split(scenario, "choice");
        double lost = split.losses().lostFractions().values().stream()
                .mapToDouble(fraction -> fraction)
                .sum();
        assertEquals(1 - split.trial().service().valueRatio(), lost, 0.03);
        assertTrue(lost > 0);
    }

    @Test
    void requestsOfAKilledSidecarAreLostAsUnreachable() {
        Map<Cause, Double> killed = lostFractions("sidecar-kill", "choice");
        assertTrue(killed.getOrDefault(Cause.UNREACHABLE, 0.0) > 0, killed.toString());
    }

    @Test
    void requestsThatServersFailAreLostAsFailedAfterSending() {
        Map<Cause, Double> errors = lostFractions("class-errors", "random");
        assertTrue(errors.getOrDefault(Cause.FAILED_SENT, 0.0) > 0.02, errors.toString());
    }

    @Test
    void theTablePrintsTheCausesPrintedNames() {
        assertTrue(split("overload", "choice").losses().table().contains("refused needlessly"));
    }
}
