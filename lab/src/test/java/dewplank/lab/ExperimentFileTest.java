package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.scenario.TomlFile;
import dewplank.settings.InvalidInputException;
import org.junit.jupiter.api.Test;

/** Errors in an experiment file are reported before any run starts. */
class ExperimentFileTest {
    private static String messageOf(String text) {
        return assertThrows(InvalidInputException.class, () -> ExperimentFile.parse(TomlFile.read(text, "x.toml")))
                .getMessage();
    }

    @Test
    void anUnknownPolicyIsReportedWithItsLineAndTheAvailablePolicies() {
        assertEquals(
                "x.toml:3: key policies is invalid: unknown policy best; available: choice, random, round-robin, "
                        + "least-outstanding, two-choices, oracle",
                messageOf("name = \"x\"\nscenarios = [\"crash\"]\npolicies = [\"best\"]"));
    }

    @Test
    void anUnknownScenarioIsReported() {
        assertTrue(messageOf("name = \"x\"\nscenarios = [\"nowhere\"]")
                .contains("scenario file nowhere.toml does not exist"));
    }

    @Test
    void anUnknownParameterIsReported() {
        assertTrue(messageOf("name = \"x\"\nscenarios = [\"crash\"]\n[[vary]]\nparameter = \"moon\"\nvalues = [1]")
                .contains("no such parameter: moon"));
    }
}
