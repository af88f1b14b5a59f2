package dewplank;

import static java.util.stream.Collectors.toCollection;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks that the names of classes, methods and tests in the README and in {@code docs/} exist in the sources.
 *
 * <p>A name is a word in camel case within a code span; three dots after it stand for the rest of the name. Records of
 * earlier work are excluded, as they contain the names at the time of writing.
 */
class DocumentedNamesTest {
    private static final Path ROOT = Path.of("..");
    private static final Set<String> EXCLUDED_PAGES = Set.of("ROADMAP.md");
    /** Names that belong to the JVM, the operating system and the build. */
    private static final Set<String> EXTERNAL_NAMES =
            Set.of("ConsoleHandler", "SigIgn", "DskipTests", "AlwaysPreTouch", "SharedArchiveFile", "Xms32m");

    private static final Pattern FENCE = Pattern.compile("```.*?```", Pattern.DOTALL);
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
    private static final Pattern CAMEL_CASE =
            Pattern.compile("\\b([A-Z][a-z0-9]+[A-Z]\\w*|[a-z][a-z0-9]*[A-Z]\\w*)(\\.\\.\\.)?");
    private static final Pattern TEST_METHOD = Pattern.compile("\\b([A-Z]\\w*Test)\\.([a-z]\\w*)(\\.\\.\\.)?");
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z_]\\w*");

    private static final NavigableSet<String> identifiers = new TreeSet<>();
    private static final NavigableMap<String, NavigableSet<String>> identifiersOfTests = new TreeMap<>();

    /** A name in a page; {@code isPrefix} is true if three dots stand for the rest of the name. */
    private record DocumentedName(String name, boolean isPrefix) {
        boolean matchesAny(NavigableSet<String> candidates) {
            if (!isPrefix) {
                return candidates.contains(name);
            }
            String next = candidates.ceiling(name);
            return next != null && next.startsWith(name);
        }
    }

    @BeforeAll
    static void readSources() throws IOException {
        try (Stream<Path> modules = Files.list(ROOT)) {
            for (Path module :
                    modules.filter(m -> Files.isDirectory(m.resolve("src"))).toList()) {
                try (Stream<Path> files = Files.walk(module.resolve("src"))) {
                    files.filter(f -> f.toString().endsWith(".java")).forEach(DocumentedNamesTest::readSource);
                }
            }
        }
    }

    private static void readSource(Path file) {
        NavigableSet<String> found = matches(IDENTIFIER, read(file));
        identifiers.addAll(found);
        String type = file.getFileName().toString().replace(".java", "");
        identifiersOfTests.computeIfAbsent(type, t -> new TreeSet<>()).addAll(found);
    }

    @TestFactory
    Stream<DynamicTest> everyNameInAPageExistsInTheSources() throws IOException {
        return pages().stream()
                .map(page -> DynamicTest.dynamicTest(
                        page.getFileName().toString(), () -> assertEquals(Set.of(), unknownNames(read(page)))));
    }

    @Test
    void reportsANameThatIsNotInTheSources() {
        String unknownClass = "Missing" + "Class"; // split because this file is one of the sources
        String unknownMethod = "missing" + "Method";
        assertEquals(
                Set.of(unknownClass, unknownMethod),
                unknownNames("`" + unknownClass + "`, `" + unknownMethod + "...`"));
        assertEquals(
                Set.of("ArchitectureTest.unknownNames"),
                unknownNames("`ArchitectureTest.unknownNames`")); // the method belongs to another test
    }

    @Test
    void acceptsANameInTheSources() {
        assertEquals(Set.of(), unknownNames("`unknownNames`, `unknownNa...`, `DocumentedNamesTest.unknownNames`"));
        assertEquals(Set.of(), unknownNames("outside of code a " + "Missing" + "Class is prose"));
    }

    @Test
    void findsThePages() throws IOException {
        assertTrue(pages().size() > 10, pages().toString());
    }

    private static List<Path> pages() throws IOException {
        try (Stream<Path> docs = Files.list(ROOT.resolve("docs"))) {
            return Stream.concat(Stream.of(ROOT.resolve("README.md")), docs)
                    .filter(f -> f.toString().endsWith(".md"))
                    .filter(f -> !EXCLUDED_PAGES.contains(f.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    private static NavigableSet<String> unknownNames(String page) {
        NavigableSet<String> unknown = new TreeSet<>();
        for (String span : matches(CODE_SPAN, FENCE.matcher(page).replaceAll(""))) {
            Matcher names = CAMEL_CASE.matcher(span);
            while (names.find()) {
                DocumentedName name = new DocumentedName(names.group(1), names.group(2) != null);
                if (!EXTERNAL_NAMES.contains(name.name()) && !name.matchesAny(identifiers)) {
                    unknown.add(name.name());
                }
            }
            unknown.addAll(unknownTests(span));
        }
        return unknown;
    }

    private static NavigableSet<String> unknownTests(String span) {
        NavigableSet<String> unknown = new TreeSet<>();
        Matcher tests = TEST_METHOD.matcher(span);
        while (tests.find()) {
            NavigableSet<String> methods = identifiersOfTests.getOrDefault(tests.group(1), new TreeSet<>());
            if (!new DocumentedName(tests.group(2), tests.group(3) != null).matchesAny(methods)) {
                unknown.add(tests.group(1) + "." + tests.group(2));
            }
        }
        return unknown;
    }

    private static NavigableSet<String> matches(Pattern pattern, String text) {
        return pattern.matcher(text)
                .results()
                .map(m -> m.groupCount() == 0 ? m.group() : m.group(1))
                .collect(toCollection(TreeSet::new));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
