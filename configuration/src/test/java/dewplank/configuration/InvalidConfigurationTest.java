package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that each kind of invalid configuration is rejected. */
class InvalidConfigurationTest {
    private static final String VALID_DOCUMENT = Samples.document(7);

    private static void assertRejected(Reason reason, String key, String text) {
        InvalidConfigurationException error =
                assertThrows(InvalidConfigurationException.class, () -> Samples.parse(text), text);
        assertEquals(reason, error.reason(), error.getMessage());
        assertEquals(key, error.key());
        assertTrue(error.getMessage().contains(key));
    }

    private static String replaceInDocument(String target, String replacement) {
        assertTrue(VALID_DOCUMENT.contains(target), target);
        return VALID_DOCUMENT.replace(target, replacement);
    }

    @Test
    void rejectsATextTruncatedAtAnyByte() {
        byte[] complete = Samples.bytes(VALID_DOCUMENT.replace("r-1", "r-\u00e9\\n\\u00e9\u20ac\ud83d\ude00"));
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            InvalidConfigurationException error = assertThrows(
                    InvalidConfigurationException.class,
                    () -> Configuration.parse(truncated),
                    "truncated at " + length);
            assertEquals(Reason.UNREADABLE, error.reason());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"}", ",", "x", "{}", "\u0000", "null", "/**/"})
    void rejectsBytesAfterTheValue(String trailing) {
        assertRejected(Reason.UNREADABLE, "", VALID_DOCUMENT + trailing);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "txyz",
                "nul",
                "nxxx",
                "True",
                "01",
                "1.",
                ".5",
                "+1",
                "-",
                "1e",
                "0x10",
                "NaN",
                "Infinity",
                "--1",
                "1 2",
                "[1,]",
                "[,1]",
                "[1 2]",
                "[1 null]",
                "[1}",
                "{\"a\":1,}",
                "{,}",
                "{\"a\" 1}",
                "{a:1}",
                "{\"a\":1]",
                "{\"a\"}",
                "{\"a\":1 null}",
                "'a'",
                "\"\\x\"",
                "\"\\u12\"",
                "\"\\u12g4\"",
                "\"a\tb\"",
                "\"\\ud83d\"",
                "\"\\ude00\"",
                "\"\\ud83dx\"",
                "\"\\ud83d\\u0041\"",
                "",
                "\u00a0"
            })
    void rejectsAMalformedValueInAnUnknownField(String malformed) {
        assertRejected(
                Reason.UNREADABLE,
                "",
                replaceInDocument("{\"name\":\"m\"}", "{\"name\":\"m\",\"x\":" + malformed + "}"));
    }

    @Test
    void rejectsBytesThatAreNotUtf8() {
        byte[] text = Samples.bytes(VALID_DOCUMENT);
        text[VALID_DOCUMENT.indexOf("r-1")] = (byte) 0xC0;
        InvalidConfigurationException error =
                assertThrows(InvalidConfigurationException.class, () -> Configuration.parse(text));
        assertEquals(Reason.UNREADABLE, error.reason());
    }

    @Test
    void rejectsDuplicateKeysAtAnyDepth() {
        assertRejected(
                Reason.DUPLICATE_KEY,
                "config_version",
                replaceInDocument("{\"config", "{\"config_version\":9,\"config"));
        assertRejected(
                Reason.DUPLICATE_KEY,
                "x",
                replaceInDocument("{\"name\":\"m\"}", "{\"name\":\"m\",\"x\":null,\"x\":null}"));
        assertRejected(
                Reason.DUPLICATE_KEY,
                "x",
                replaceInDocument("{\"name\":\"m\"}", "{\"name\":\"m\",\"x\":null,\"\\u0078\":1}"));
    }

    @Test
    void rejectsDeepNesting() {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);
        assertRejected(
                Reason.TOO_DEEP, "", replaceInDocument("{\"name\":\"m\"}", "{\"name\":\"m\",\"x\":" + deep + "}"));
    }

    @Test
    void rejectsWrongTypes() {
        assertRejected(Reason.WRONG_TYPE, "", "[]");
        assertRejected(Reason.WRONG_TYPE, "", "7");
        assertRejected(Reason.WRONG_TYPE, "config_version", replaceInDocument(":7,", ":\"7\","));
        assertRejected(Reason.WRONG_TYPE, "config_version", replaceInDocument(":7,", ":7.5,"));
        assertRejected(Reason.WRONG_TYPE, "routes", "{\"config_version\":7,\"routes\":{},\"services\":[]}");
        assertRejected(Reason.WRONG_TYPE, "routes[0]", "{\"config_version\":7,\"routes\":[1],\"services\":[]}");
        assertRejected(Reason.WRONG_TYPE, "routes[r-2].timeout_ms", replaceInDocument("2500", "\"2500\""));
        assertRejected(Reason.WRONG_TYPE, "routes[r-2].sticky", replaceInDocument("\"sticky\":false", "\"sticky\":0"));
        assertRejected(
                Reason.WRONG_TYPE,
                "routes[r-1].weighted_split",
                replaceInDocument(
                        "[{\"service\":\"huvo\",\"weight\":90}," + "{\"service\":\"wuno\",\"weight\":10}]", "{}"));
        assertRejected(Reason.WRONG_TYPE, "services[huvo].engine.slot_count", replaceInDocument("64", "6.4"));
        assertRejected(Reason.WRONG_TYPE, "limits", replaceInDocument(Samples.LIMITS, "3"));
        assertRejected(Reason.WRONG_TYPE, "limits", replaceInDocument(Samples.LIMITS, "[]"));
    }

    @Test
    void rejectsAMissingVersion() {
        assertRejected(Reason.MISSING_VERSION, "config_version", replaceInDocument("\"config_version\":7,", ""));
        assertRejected(Reason.MISSING_VERSION, "config_version", replaceInDocument(":7,", ":null,"));
        assertRejected(Reason.VERSION_NOT_ABOVE, "config_version", replaceInDocument(":7,", ":0,"));
        assertRejected(Reason.OUT_OF_BOUNDS, "config_version", replaceInDocument(":7,", ":1e999999999,"));
    }

    @Test
    void rejectsMissingLists() {
        assertRejected(Reason.MISSING_FIELD, "routes", replaceInDocument("\"routes\"", "\"ways\""));
        assertRejected(Reason.MISSING_FIELD, "services", replaceInDocument("\"services\"", "\"ways\""));
    }

    @Test
    void rejectsARouteToAnUnknownService() {
        assertRejected(
                Reason.UNKNOWN_SERVICE,
                "routes[r-2].service",
                replaceInDocument("\"service\":\"huvo\",\"max", "\"service\":\"hu\",\"max"));
        assertRejected(
                Reason.UNKNOWN_SERVICE,
                "routes[r-1].service",
                replaceInDocument("\"service\":\"wuno\"", "\"service\":\"wu\""));
    }

    @Test
    void rejectsTwoRoutesWithTheSameHostAndPrefix() {
        assertRejected(Reason.SHARED_PREFIX, "routes[r-2].path_prefix", replaceInDocument("/pufi/", "/lohu/"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-90", "-1", "0.0"})
    void rejectsWeightsThatAreAllZeroOrNegative(String weight) {
        String text = replaceInDocument("90", weight).replace("\"weight\":10", "\"weight\":0");
        InvalidConfigurationException error =
                assertThrows(InvalidConfigurationException.class, () -> Samples.parse(text));
        assertEquals(Reason.BAD_WEIGHTS, error.reason());
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "0.0", "-1", "-0", "0e5"})
    void rejectsATimeoutThatIsNotAboveZero(String timeout) {
        assertRejected(Reason.BAD_TIMEOUT, "routes[r-2].timeout_ms", replaceInDocument("2500", timeout));
    }

    @Test
    void rejectsDuplicateNames() {
        assertRejected(Reason.DUPLICATE_NAME, "routes[r-1]", replaceInDocument("r-2", "r-1"));
        assertRejected(
                Reason.DUPLICATE_NAME, "services[huvo]", replaceInDocument("\"name\":\"wuno\"", "\"name\":\"huvo\""));
        assertRejected(
                Reason.DUPLICATE_NAME,
                "keys[a]",
                replaceInDocument("\"limits\"", "\"keys\":[{\"name\":\"a\"},{\"name\":\"a\",\"x\":1}],\"limits\""));
    }

    @Test
    void rejectsAMissingName() {
        assertRejected(Reason.MISSING_NAME, "routes[1].name", replaceInDocument("\"name\":\"r-2\",", ""));
        assertRejected(
                Reason.MISSING_NAME, "services[1].name", replaceInDocument("\"name\":\"wuno\"", "\"name\":\"\""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"pufi/", "/pufi", "pufi", ""})
    void rejectsAPrefixThatDoesNotBeginAndEndWithASlash(String prefix) {
        assertRejected(Reason.BAD_PREFIX, "routes[r-2].path_prefix", replaceInDocument("/pufi/", prefix));
    }

    @Test
    void rejectsAnUnknownRouteType() {
        assertRejected(Reason.UNKNOWN_ROUTE_TYPE, "routes[r-2].route_type", replaceInDocument("\"safe\"", "\"Safe\""));
    }

    @Test
    void rejectsARouteWithoutService() {
        assertRejected(
                Reason.NO_SERVICE, "routes[r-2].service", replaceInDocument("\"service\":\"huvo\",\"max", "\"max"));
        assertRejected(
                Reason.BAD_WEIGHTS,
                "routes[r-2].weighted_split",
                replaceInDocument("\"service\":\"huvo\",\"max", "\"weighted_split\":[],\"max"));
    }

    @Test
    void rejectsNumbersOutOfBounds() {
        assertRejected(
                Reason.OUT_OF_BOUNDS,
                "routes[r-2].max_attempts",
                replaceInDocument("\"max_attempts\":1", "\"max_attempts\":0"));
        assertRejected(Reason.OUT_OF_BOUNDS, "routes[r-2].target_latency_ms", replaceInDocument("400,", "-400,"));
        assertRejected(Reason.OUT_OF_BOUNDS, "routes[r-2].timeout_ms", replaceInDocument("2500", "1e400"));
        assertRejected(Reason.OUT_OF_BOUNDS, "services[wuno].max_connections", replaceInDocument("110", "0"));
    }
}
