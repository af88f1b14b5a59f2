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

/** Checks that the operators' documentation lists each reason, and no reason that does not exist. */
class DocumentedReasonsTest {
    private static final Path PAGE = Path.of("..", "docs", "result-codes.md");
    /** The columns are reason, meaning and what to do. */
    private static final Pattern ROW = Pattern.compile("\\| `([A-Z_]+)` \\| .+ \\| .+ \\|");

    @Test
    void theTableListsEachReasonOnceAndInOrder() throws IOException {
        List<String> rows = Files.readAllLines(PAGE).stream()
                .map(ROW::matcher)
                .filter(Matcher::matches)
                .map(row -> row.group(1))
                .toList();
        assertEquals(Stream.of(Reason.values()).map(Reason::name).toList(), rows);
    }
}
