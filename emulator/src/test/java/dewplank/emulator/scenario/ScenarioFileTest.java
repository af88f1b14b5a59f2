package dewplank.emulator.scenario;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Test;

public class ScenarioFileTest {

    private static String fault(String text) {
        return assertThrows(InvalidInputException.class, () -> ScenarioFile.of(TomlFile.read(text, "x.toml")))
                .getMessage();
    }

    private static String scenario(String more) {
        return "name = \"x\"\nlength_s = 5\nsidecars = 1\nload = { share = 0.5 }\n" + more
                + "\n[[class]]\nname = \"k\"\nwork_ms = 1\ndeadline_ms = 100\n";
    }

    @Test
    public void aWrongKeyIsNamedWithFileAndLine() {
        assertTrue(fault(scenario("[servers]\ncount = 3\ncoutn = 4"))
                .startsWith("x.toml:7: key servers.coutn is unknown; known here: "));
        assertEquals("x.toml:6: key servers.count should be from 1 to 10000", fault(scenario("[servers]\ncount = 0")));
        assertEquals("x.toml:6: key servers.count should be a number", fault(scenario("[servers]\ncount = \"many\"")));
        assertEquals("x.toml: key servers.count is missing", fault(scenario("")));
        assertEquals(
                "x.toml:8: key fault[0].what should be one of crash, vanish, slow, neighbour, pause, deploy, "
                        + "class_errors, poison, lost_answers, resets, cut, loss, load, directory_down, "
                        + "directory_silent, sidecar_kill, zone_loss, errors, tenant_load",
                fault(scenario("servers = { count = 1 }\n[[fault]]\nat_s = 1\nwhat = \"fire\"")));
        assertTrue(fault("name = ").startsWith("x.toml:1: "));
    }

    @Test
    public void aFaultMustNameAClassThatIsThere() {
        assertTrue(fault(scenario("servers = { count = 1 }\n[[fault]]\nat_s = 1\nwhat = \"poison\"\nclass = \"zz\""))
                .contains("names the class zz"));
        assertTrue(fault(scenario("servers = { count = 1 }\n[[tenant]]\nname = \"a\"\nshare = 1\n[[fault]]\nat_s = 1\n"
                        + "what = \"tenant_load\"\ntenant = \"zz\""))
                .contains("names the tenant zz"));
        assertTrue(fault(scenario("servers = { count = 1 }\n[[fault]]\nat_s = 1\nwhat = \"tenant_load\""))
                .contains("key fault[0].tenant is missing"));
        assertTrue(fault(scenario("servers = { count = 1 }\ntenant = [ { name = \"a\", share = 1 }, "
                        + "{ name = \"a\", share = 1 } ]"))
                .contains("key tenant has one name twice"));
    }

    @Test
    public void whatComesWithTheLaboratoryCanBeRead() {
        assertTrue(ScenarioFile.names().size() >= 15);
        for (String name : ScenarioFile.names()) {
            assertEquals(name, ScenarioFile.named(name).name());
        }
    }

    @Test
    public void aFileSaysOnlyWhatDiffersFromAnother() throws IOException {
        Path file = Files.createTempFile("scenario", ".toml");
        Files.writeString(file, "name = \"mine\"\nlike = \"crash\"\n[load]\nshare = 0.1\n");
        Scenario mine = ScenarioFile.named(file.toString());
        assertEquals(0.1, mine.load().utilization(), 0);
        assertEquals(LoadShape.WAVE, mine.load().shape());
        assertEquals(1, mine.faults().size());
        Files.writeString(file, "name = \"mine\"\nlike = \"" + file + "\"\n");
        assertTrue(assertThrows(InvalidInputException.class, () -> ScenarioFile.named(file.toString()))
                .getMessage()
                .endsWith("key like leads in a circle"));
        Files.delete(file);
    }
}
