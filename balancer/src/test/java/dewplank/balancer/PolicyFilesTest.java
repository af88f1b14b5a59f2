package dewplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The files listed as {@code policy} in {@code deploy/balancer.toml}: complete, without duplicates, with short lines.
 */
class PolicyFilesTest {
    private static final Path ROOT = Path.of("..");
    private static final Path MODULE = ROOT.resolve("balancer/src/main/java/dewplank/balancer");

    /** Files that make no decisions: types and events, state, statistics, a wire format, timers. */
    private static final Set<String> NO_DECISIONS = Set.of(
            "Action.java",
            "Balancer.java",
            "Endpoint.java",
            "Event.java",
            "Outcome.java",
            "Settings.java",
            "adaptive/Attempt.java",
            "adaptive/ClassStats.java",
            "adaptive/DecayingSum.java",
            "adaptive/FleetStats.java",
            "adaptive/PendingRequest.java",
            "adaptive/RecentRanking.java",
            "adaptive/RequestTable.java",
            "adaptive/RunningMean.java",
            "adaptive/RunningRegression.java",
            "adaptive/ServerState.java",
            "adaptive/Step.java",
            "adaptive/ZoneStats.java",
            "health/ObservationWindow.java",
            "health/PeerSummary.java");

    @Test
    void linesOfPolicyFilesAreAtMost110Characters() throws IOException {
        List<String> lines = new ArrayList<>();
        for (Path file : policyFiles()) {
            lines.addAll(Files.readAllLines(file));
        }
        int longest = lines.stream().mapToInt(String::length).max().orElse(0);
        assertTrue(!lines.isEmpty(), "the policy files have no lines");
        assertTrue(longest <= 110, longest + " characters");
    }

    @Test
    void thePolicyListsEveryFileWithDecisions() throws IOException {
        Set<String> listed = new TreeSet<>();
        for (Path file : policyFiles()) {
            assertTrue(file.startsWith(MODULE), file + " is outside the module");
            assertTrue(listed.add(MODULE.relativize(file).toString()), file + " is listed twice");
        }
        Set<String> present = new TreeSet<>();
        try (Stream<Path> files = Files.walk(MODULE)) {
            files.filter(Files::isRegularFile)
                    .map(file -> MODULE.relativize(file).toString())
                    .filter(file -> !NO_DECISIONS.contains(file) && !file.endsWith("package-info.java"))
                    .forEach(present::add);
        }
        assertEquals(present, listed);
    }

    private static List<Path> policyFiles() throws IOException {
        String settings = Files.readString(ROOT.resolve("deploy/balancer.toml"));
        Matcher list = Pattern.compile("(?m)^policy = \\[([^]]*)]").matcher(settings);
        assertTrue(list.find());
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(list.group(1))
                .results()
                .map(match -> ROOT.resolve(match.group(1)))
                .toList();
    }
}
