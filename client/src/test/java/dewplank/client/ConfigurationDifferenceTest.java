package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ConfigurationDifferenceTest {
    private static final List<Object> VALUES = List.of(1L, 1.5, "x", true, List.of(1L, "y"), Map.of("a", 1L));

    private static Object randomValue(Random random) {
        return VALUES.get(random.nextInt(VALUES.size()));
    }

    private static Map<String, Object> randomObject(Random random, int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            object.put("k" + random.nextInt(5), depth == 0 ? randomValue(random) : randomObject(random, depth - 1));
        }
        return object;
    }

    private static List<Object> randomItems(Random random) {
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            if (random.nextBoolean()) {
                Map<String, Object> item = randomObject(random, random.nextInt(2));
                item.put("name", "n" + i);
                items.add(item);
            }
        }
        return items;
    }

    private static Map<String, Object> randomConfiguration(Random random) {
        Map<String, Object> complete = randomObject(random, random.nextInt(3));
        complete.put("routes", randomItems(random));
        if (random.nextBoolean()) {
            complete.put("services", randomItems(random));
        }
        return complete;
    }

    @Property(tries = 300)
    void equalConfigurationsHaveNoChangesInAnyItemOrder(@ForAll long seed) {
        Map<String, Object> one = randomConfiguration(new Random(seed));
        Map<String, Object> other = randomConfiguration(new Random(seed));
        Collections.shuffle((List<?>) other.get("routes"), new Random(seed));
        assertEquals(List.of(), ConfigurationDifference.between(one, other));
    }

    @Property(tries = 300)
    void theReverseComparisonHasTheInverseChanges(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, Object> one = randomConfiguration(random);
        Map<String, Object> other = randomConfiguration(random);
        Set<Change> forward = Set.copyOf(ConfigurationDifference.between(one, other));
        Set<Change> backward = ConfigurationDifference.between(other, one).stream()
                .map(change -> new Change(inverse(change.kind()), change.path(), change.after(), change.before()))
                .collect(Collectors.toSet());
        assertEquals(forward, backward);
        assertEquals(forward.isEmpty(), JsonValues.areEqual(one, other));
    }

    private static Change.Kind inverse(Change.Kind kind) {
        return switch (kind) {
            case ADDED -> Change.Kind.REMOVED;
            case REMOVED -> Change.Kind.ADDED;
            case CHANGED -> Change.Kind.CHANGED;
        };
    }

    @Test
    void listsAddedRemovedAndChangedValues() {
        Map<String, Object> before = Json.object(
                """
            {"config_version":5,"routes":[{"name":"a","timeout_ms":100,"weighted_split":[{"service":"s","weight":1}]},
             {"name":"b"}],"limits":{"idle_timeout_ms":1000},"note":null,"services":[]}""");
        Map<String, Object> after = Json.object(
                """
            {"config_version":7,"routes":[{"name":"c","x":[1.5]},{"name":"a","timeout_ms":2e2,
             "weighted_split":[{"service":"s","weight":2}]}],"limits":{"idle_timeout_ms":1000.0,"more":true},
             "services":[]}""");
        assertEquals(
                List.of(
                        "~ config_version 5 -> 7",
                        "~ routes[a].timeout_ms 100 -> 200",
                        "~ routes[a].weighted_split [{\"service\":\"s\",\"weight\":1}] -> "
                                + "[{\"service\":\"s\",\"weight\":2}]",
                        "- routes[b] {\"name\":\"b\"}",
                        "+ routes[c] {\"name\":\"c\",\"x\":[1.5]}",
                        "+ limits.more true",
                        "- note null"),
                ConfigurationDifference.between(before, after).stream()
                        .map(Change::line)
                        .toList());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void appliesACompleteConfigurationOrAPatch() {
        byte[] complete = bytes("{\"config_version\":5,\"routes\":[],\"services\":[{\"name\":\"s\"}]}");
        Configuration five = ConfigurationChanges.apply(null, complete);
        assertEquals(
                2 + 1,
                ConfigurationDifference.between(null, five, KeyDisplay.FINGERPRINTS)
                        .size());
        Configuration six =
                ConfigurationChanges.apply(five, bytes("{\"config_version\":6,\"remove\":{\"services\":[\"s\"]}}"));
        assertEquals(
                List.of("~ config_version 5 -> 6", "- services[s] {\"name\":\"s\"}"),
                ConfigurationDifference.between(five, six, KeyDisplay.FINGERPRINTS).stream()
                        .map(Change::line)
                        .toList());
    }

    @Test
    void aRejectedFileIsReportedWithTheResultCodesOfTheApi() {
        Map<ResultCode, String> files = Map.of(
                ResultCode.NO_CONFIGURATION,
                "{\"config_version\":6,\"upsert\":{}}",
                ResultCode.INVALID_CONFIGURATION,
                "{\"config_version\":6,");
        files.forEach((code, file) -> {
            InvalidInputException fault =
                    assertThrows(InvalidInputException.class, () -> ConfigurationChanges.apply(null, bytes(file)));
            assertSame(code, fault.code());
            assertTrue(fault.getMessage().startsWith(code.number() + " " + code + ": "), fault.getMessage());
        });
    }
}
