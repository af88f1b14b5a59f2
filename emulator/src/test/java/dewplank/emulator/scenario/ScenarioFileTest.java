package dewplank.emulator.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of scenario files: error messages, included scenarios and inheritance. */
class ScenarioFileTest {
    private static final String ONE_SERVER = "servers = { count = 1 }\n";
    private static final String TENANT = "{ name = \"a\", share = 1 }";

    /** A scenario without servers; {@code more} starts on line 5. */
    private static String scenario(String more) {
        return """
            name = "x"
            length_s = 5
            sidecars = 1
            load = { share = 0.5 }
            %s
            [[class]]
            name = "k"
            work_ms = 1
            deadline_ms = 100
            """
                .formatted(more);
    }

    private static String scenarioWithFault(String faultKeys) {
        return scenario(ONE_SERVER + "[[fault]]\nat_s = 1\n" + faultKeys);
    }

    private static String errorOf(String text) {
        return assertThrows(InvalidInputException.class, () -> ScenarioFile.of(TomlFile.read(text, "x.toml")))
                .getMessage();
    }

    private static Stream<Arguments> invalidKeys() {
        return Stream.of(
                Arguments.of("x.toml:6: key servers.count should be from 1 to 10000", scenario("[servers]\ncount = 0")),
                Arguments.of("x.toml:6: key servers.count should be a number", scenario("[servers]\ncount = \"many\"")),
                Arguments.of("x.toml: key servers.count is missing", scenario("")),
                Arguments.of(
                        "x.toml:8: key fault[0].what should be one of crash, vanish, slow, neighbour, pause, deploy, "
                                + "class_errors, poison, lost_answers, resets, cut, loss, load, directory_down, "
                                + "directory_silent, sidecar_kill, zone_loss, errors, tenant_load",
                        scenarioWithFault("what = \"fire\"")));
    }

    private static Stream<Arguments> invalidReferences() {
        return Stream.of(
                Arguments.of("names the class zz", scenarioWithFault("what = \"poison\"\nclass = \"zz\"")),
                Arguments.of(
                        "names the tenant zz",
                        scenario(ONE_SERVER + "[[tenant]]\nname = \"a\"\nshare = 1\n[[fault]]\nat_s = 1\n"
                                + "what = \"tenant_load\"\ntenant = \"zz\"")),
                Arguments.of("key fault[0].tenant is missing", scenarioWithFault("what = \"tenant_load\"")),
                Arguments.of(
                        "key tenant has a duplicate name",
                        scenario(ONE_SERVER + "tenant = [ " + TENANT + ", " + TENANT + " ]")));
    }

    @Nested
    class ErrorMessages {
        @ParameterizedTest
        @MethodSource("dewplank.emulator.scenario.ScenarioFileTest#invalidKeys")
        void containFileLineAndKey(String expected, String text) {
            assertEquals(expected, errorOf(text));
        }

        @ParameterizedTest
        @MethodSource("dewplank.emulator.scenario.ScenarioFileTest#invalidReferences")
        void nameTheInvalidReference(String expected, String text) {
            String error = errorOf(text);
            assertTrue(error.contains(expected), error);
        }

        @Test
        void listTheKnownKeysForAnUnknownKey() {
            String error = errorOf(scenario("[servers]\ncount = 3\ncoutn = 4"));
            assertTrue(error.startsWith("x.toml:7: key servers.coutn is unknown; known here: "), error);
        }

        @Test
        void containTheLineOfASyntaxError() {
            String error = errorOf("name = ");
            assertTrue(error.startsWith("x.toml:1: "), error);
        }
    }

    @Test
    void allIncludedScenariosCanBeReadByName() {
        List<String> names = ScenarioFile.names();
        assertTrue(names.size() >= 15, names::toString);
        for (String name : names) {
            assertEquals(name, ScenarioFile.named(name).name());
        }
    }

    @Nested
    class Inheritance {
        @TempDir
        private Path folder;

        private Path write(String text) throws IOException {
            return Files.writeString(folder.resolve("mine.toml"), text);
        }

        @Test
        void takesUnsetValuesFromTheBaseScenario() throws IOException {
            Path file = write("name = \"mine\"\nlike = \"crash\"\n[load]\nshare = 0.1\n");
            Scenario inheriting = ScenarioFile.named(file.toString());
            assertEquals(0.1, inheriting.load().utilization());
            assertEquals(LoadShape.WAVE, inheriting.load().shape());
            assertEquals(1, inheriting.faults().size());
        }

        @Test
        void rejectsACircularReference() throws IOException {
            Path file = write("name = \"mine\"\nlike = \"" + folder.resolve("mine.toml") + "\"\n");
            String error = assertThrows(InvalidInputException.class, () -> ScenarioFile.named(file.toString()))
                    .getMessage();
            assertTrue(error.endsWith("key like has a circular reference"), error);
        }
    }
}
