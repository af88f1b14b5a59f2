package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against a reason that operators can't look up, and against a row for one that no configuration gets. */
class DocumentedReasonsTest {
    private static final Path PAGE = Path.of("..", "docs", "result-codes.md");
    /** Reason, meaning, what to do. */
    private static final Pattern ROW = Pattern.compile("\\| `([A-Z_]+)` \\| .+ \\| .+ \\|");

    @Test
    void theTableNamesEachReasonOnceAndInOrder() throws IOException {
        List<String> rows = Files.readAllLines(PAGE).stream()
                .map(ROW::matcher)
                .filter(Matcher::matches)
                .map(row -> row.group(1))
                .toList();
        assertEquals(Stream.of(Reason.values()).map(Reason::name).toList(), rows);
    }
}
