package dewplank.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Guards against result codes missing from the operators' page, and against rows for codes that do not exist. */
class ResultCodeTest {
    private static final Path PAGE = Path.of("..", "docs", "result-codes.md");
    /** Number, name, status or a dash, meaning, action. */
    private static final Pattern ROW = Pattern.compile("\\| (\\d+) \\| `([A-Z_]+)` \\| (\\d+|-) \\| (.+) \\| (.+) \\|");

    @Test
    void theTableContainsEachCodeOnceAndInOrder() throws IOException {
        List<String> rows = new ArrayList<>();
        for (String line : Files.readAllLines(PAGE)) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                rows.add(row.group(1) + " " + row.group(2) + " " + row.group(3));
            }
        }
        List<String> codes = new ArrayList<>();
        for (ResultCode code : ResultCode.values()) {
            codes.add(code.number() + " " + code + " " + (code.status() == 0 ? "-" : code.status()));
        }
        assertEquals(codes, rows);
    }

    @Test
    void numbersAreUniqueAndAscending() {
        Set<Integer> numbers = new HashSet<>();
        int last = 0;
        for (ResultCode code : ResultCode.values()) {
            assertTrue(numbers.add(code.number()), code.name());
            assertTrue(code.number() > last, code.name());
            last = code.number();
        }
    }
}
