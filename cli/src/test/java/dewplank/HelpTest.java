package dewplank;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class HelpTest {
    private static final Set<String> COMMANDS_WITH_VARIABLES =
            Set.of("serve", "check-config", "data-plane", "control-plane", "check-settings");

    @Test
    void everyCommandHasATextAndEveryTextHasACommand() {
        assertEquals(
                new TreeSet<>(Help.commands().keySet()),
                new TreeSet<>(Help.texts().keySet()));
        Help.texts().forEach((command, text) -> assertFalse(text.isBlank(), command));
    }

    @Test
    void textsDescribeTheVariables() {
        Map<String, String> texts = Help.texts();
        COMMANDS_WITH_VARIABLES.forEach(command -> assertTrue(texts.get(command).contains("Variables:"), command));
        for (String command : List.of("data-plane", "control-plane", "check-settings")) {
            assertTrue(texts.get(command).contains("DEWPLANK_NODE_FILE"), command);
        }
        assertTrue(texts.get("serve").contains("GW_CONFIG"));
    }

    @Test
    void printsTheTextAndOptionsOfEachCommand() {
        for (String command : Help.commands().keySet()) {
            List<String> args = List.of((command + " --help").split(" "));
            CommandResult result = CommandResult.of(() -> Help.run(args));
            assertEquals(0, result.exitCode(), command);
            assertTrue(result.out().startsWith("usage: java -jar dewplank.jar " + command), result.out());
            assertTrue(result.out().contains(Help.texts().get(command)), result.out());
            assertEquals("", result.err());
        }
        assertTrue(CommandResult.of(() -> Help.run(List.of("fleet", "put", "f", "--help")))
                .out()
                .contains("--on VERSION"));
    }

    @Test
    void printsAnOverview() {
        String out = CommandResult.of(() -> Help.run(List.of("--help"))).out();
        Help.commands().keySet().forEach(command -> assertTrue(out.contains("  " + command + " "), command));
    }

    @Test
    void anUnknownCommandExitsWith2() {
        CommandResult result = CommandResult.of(() -> Help.run(List.of("nothing", "--help")));
        assertEquals(2, result.exitCode());
        assertTrue(result.err().startsWith("dewplank: there is no command nothing\n"), result.err());
    }

    /** Non-ASCII texts could not be printed on a terminal without UTF-8. */
    @Test
    void textsAreAscii() {
        Help.texts()
                .values()
                .forEach(text ->
                        assertTrue(StandardCharsets.US_ASCII.newEncoder().canEncode(text), text));
    }
}
