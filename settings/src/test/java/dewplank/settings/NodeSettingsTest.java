package dewplank.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parses a sample file, and variants of it with one key missing, of the wrong type, or out of range. */
class NodeSettingsTest {
    private static final Gson GSON = new GsonBuilder().serializeNulls().create();
    /** Required keys. */
    private static final List<String> REQUIRED = List.of(
            "node_name",
            "ip_address",
            "zone",
            "listen_addresses",
            "internal_port_range",
            "seed_nodes",
            "initial_start",
            "limits",
            "limits.max_file_descriptors",
            "bounds",
            "bounds.drain_ms",
            "bounds.grace_s",
            "bounds.config_apply_ms",
            "bounds.retry_budget_ratio",
            "bounds.budget_window_s",
            "bounds.retry_budget_slack",
            "bounds.contact_ms",
            "platform_api",
            "platform_api.address",
            "platform_api.rate_per_s");
    /** Optional keys. */
    private static final List<String> OPTIONAL = List.of(
            "listen_addresses.front",
            "listen_addresses.readiness",
            "listen_addresses.control",
            "loss_counted",
            "limits.disk_mb",
            "data_directory",
            "bounds.lease_ms",
            "bounds.ack_ms",
            "platform_api.max_lag_ms");

    private static final Map<String, List<Object>> OUT_OF_RANGE = outOfRange();

    private static Map<String, List<Object>> outOfRange() {
        Map<String, List<Object>> values = new LinkedHashMap<>();
        values.put(
                "ip_address",
                List.of(
                        "",
                        "10.0.0",
                        "10.0.0.",
                        ".1.2.3",
                        "1..2.3",
                        "10.0.0.256",
                        "10.0.0.1.2",
                        "10.0.0.99999999999",
                        "10.0.0.-1",
                        "10.0.0.4:80",
                        "host.example"));
        for (String address : List.of(
                "listen_addresses.front",
                "listen_addresses.readiness",
                "listen_addresses.control",
                "platform_api.address")) {
            values.put(address, List.of("10.0.0.4", "10.0.0.4:0", "10.0.0.4:65536", "host.example:80", ":80"));
        }
        values.put(
                "internal_port_range",
                List.of(List.of(0, 7), List.of(7, 7), List.of(8, 7), List.of(1, 65_536), List.of(1, 1L << 32)));
        values.put("limits.max_file_descriptors", List.of(0, -1));
        values.put("data_directory", List.of("a\0b"));
        for (String positive : List.of(
                "bounds.drain_ms",
                "bounds.grace_s",
                "bounds.config_apply_ms",
                "bounds.budget_window_s",
                "bounds.contact_ms",
                "platform_api.rate_per_s")) {
            values.put(positive, List.of(0, -0.5));
        }
        for (String notNegative : List.of(
                "limits.disk_mb",
                "bounds.retry_budget_ratio",
                "bounds.retry_budget_slack",
                "bounds.lease_ms",
                "bounds.ack_ms",
                "platform_api.max_lag_ms")) {
            values.put(notNegative, List.of(-0.5, -1));
        }
        return values;
    }

    private static String sample() {
        try (InputStream input = NodeSettingsTest.class.getResourceAsStream("/node.json")) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * One key of a settings document.
     *
     * @param parent the object that contains the key
     * @param name the key's last part
     */
    private record Field(Map<String, Object> parent, String name) {
        @SuppressWarnings("unchecked")
        static Field of(Map<String, Object> document, String key) {
            int dot = key.indexOf('.');
            return dot < 0
                    ? new Field(document, key)
                    : new Field((Map<String, Object>) document.get(key.substring(0, dot)), key.substring(dot + 1));
        }

        Object value() {
            return parent.get(name);
        }
    }

    private static String sampleWith(String key, Object value) {
        Map<String, Object> document = Json.object(sample());
        Field field = Field.of(document, key);
        field.parent().put(field.name(), value);
        return GSON.toJson(document);
    }

    private static String sampleWithout(String key) {
        Map<String, Object> document = Json.object(sample());
        Field field = Field.of(document, key);
        assertTrue(field.parent().containsKey(field.name()), key);
        field.parent().remove(field.name());
        return GSON.toJson(document);
    }

    private static void assertRejected(String text, ResultCode code, String key) {
        InvalidInputException error = assertThrows(InvalidInputException.class, () -> NodeSettings.parse(text), key);
        assertSame(code, error.code(), error.getMessage());
        String prefix = code.number() + " " + code + ": " + key;
        assertTrue(error.getMessage().startsWith(prefix), error.getMessage());
        String remainder = error.getMessage().substring(prefix.length());
        assertTrue(remainder.startsWith(" ") || remainder.startsWith("["), error.getMessage());
    }

    @Test
    void parsesTheSample() {
        NodeSettings settings = NodeSettings.parse(sample());
        assertEquals("node-7", settings.nodeName());
        assertEquals("10.1.0.12", settings.address());
        assertEquals(8144, settings.front().getPort());
        assertEquals(7660, settings.internalPorts()[0]);
        assertEquals(3, settings.seeds().size());
        assertEquals(Path.of("/var/lib/dewplank"), settings.dataDirectory());
        assertEquals(64L << 20, settings.resources().diskBytes());
        assertEquals(8_000, settings.bounds().graceMs());
        assertEquals(44, settings.platform().callsPerSecond());
        assertSame(settings, settings.requireDataPlaneKeys());
        assertSame(settings, settings.requireControlPlaneKeys());
    }

    @Test
    void reportsEachMissingRequiredKey() {
        for (String key : REQUIRED) {
            assertRejected(sampleWithout(key), ResultCode.KEY_MISSING, key);
            assertRejected(sampleWith(key, null), ResultCode.KEY_MISSING, key);
        }
    }

    @Test
    void acceptsMissingOptionalKeys() {
        for (String key : OPTIONAL) {
            NodeSettings.parse(sampleWithout(key));
            NodeSettings.parse(sampleWith(key, null));
        }
    }

    @Test
    void reportsEachKeyOfTheWrongType() {
        for (List<String> keys : List.of(REQUIRED, OPTIONAL)) {
            for (String key : keys) {
                Object validValue = Field.of(Json.object(sample()), key).value();
                assertRejected(
                        sampleWith(key, validValue instanceof String ? 7 : "seven"), ResultCode.KEY_OF_WRONG_TYPE, key);
                assertRejected(
                        sampleWith(key, validValue instanceof List ? Map.of() : List.of()),
                        ResultCode.KEY_OF_WRONG_TYPE,
                        key);
            }
        }
    }

    @Test
    void reportsElementsOfTheWrongType() {
        assertRejected(sampleWith("seed_nodes", List.of(7)), ResultCode.KEY_OF_WRONG_TYPE, "seed_nodes[0]");
        assertRejected(
                sampleWith("seed_nodes", List.of("10.0.0.4:1", "x")), ResultCode.KEY_OUT_OF_RANGE, "seed_nodes[1]");
        assertRejected(sampleWith("internal_port_range", List.of(7)), ResultCode.KEY_MISSING, "internal_port_range[1]");
        assertRejected(
                sampleWith("internal_port_range", List.of(7, 8.5)),
                ResultCode.KEY_OF_WRONG_TYPE,
                "internal_port_range[1]");
    }

    @Test
    void reportsEachKeyOutOfRange() {
        OUT_OF_RANGE.forEach((key, values) -> {
            for (Object value : values) {
                assertRejected(sampleWith(key, value), ResultCode.KEY_OUT_OF_RANGE, key);
            }
        });
    }

    @Test
    void ignoresUnknownKeys() {
        NodeSettings.parse(sampleWith("surprise", Map.of("a", List.of(1))));
        NodeSettings.parse(sampleWith("bounds.surprise", true));
    }

    @Test
    void reportsTextThatIsNotJson() {
        for (String text : List.of("", "{", "[]", sample() + "x", "{\"node_name\": nan}")) {
            InvalidInputException error =
                    assertThrows(InvalidInputException.class, () -> NodeSettings.parse(text), text);
            assertSame(ResultCode.NOT_JSON, error.code());
            assertTrue(error.getMessage().startsWith("603 NOT_JSON: "), error.getMessage());
        }
    }

    @Test
    void reportsAnUnsetVariableAndAnUnreadableFile() {
        InvalidInputException unset =
                assertThrows(InvalidInputException.class, () -> NodeSettings.fromEnvironment(Map.of()));
        assertSame(ResultCode.VARIABLE_NOT_SET, unset.code());
        InvalidInputException missing = assertThrows(
                InvalidInputException.class,
                () -> NodeSettings.fromEnvironment(Map.of(NodeSettings.VARIABLE, "no/such/file.json")));
        assertSame(ResultCode.FILE_UNREADABLE, missing.code());
        assertTrue(missing.getMessage().contains("no/such/file.json"));
    }

    @Test
    void eachProcessTypeRequiresItsKeys() {
        for (String key : List.of("listen_addresses.front", "listen_addresses.readiness")) {
            NodeSettings settings = NodeSettings.parse(sampleWithout(key));
            InvalidInputException error = assertThrows(InvalidInputException.class, settings::requireDataPlaneKeys);
            assertTrue(error.getMessage().startsWith("604 KEY_MISSING: " + key + " is missing"), error.getMessage());
            settings.requireControlPlaneKeys();
        }
        for (String key : List.of("listen_addresses.control", "data_directory")) {
            NodeSettings settings = NodeSettings.parse(withLossCounted(sampleWithout(key)));
            InvalidInputException error = assertThrows(InvalidInputException.class, settings::requireControlPlaneKeys);
            assertTrue(error.getMessage().startsWith("604 KEY_MISSING: " + key + " is missing"), error.getMessage());
            settings.requireDataPlaneKeys();
        }
    }

    /** If the loss of its machine does not count, a control plane may run without a disk, as a relay. */
    @Test
    void aMachineWhoseLossDoesNotCountNeedsNoDisk() {
        assertNull(NodeSettings.parse(sampleWithout("data_directory"))
                .requireControlPlaneKeys()
                .dataDirectory());
    }

    /** Returns the same settings for a machine whose loss counts. */
    private static String withLossCounted(String text) {
        String changed = text.replaceAll("\"loss_counted\":\\s*false", "\"loss_counted\":true");
        assertTrue(NodeSettings.parse(changed).lossCounted());
        return changed;
    }

    /** The sidecar's messages have no numbers, so that they do not change for its operators. */
    @Test
    void messagesWithoutAResultCodeHaveNoNumber() {
        Fields fields = new Fields(Map.of("a", -1L), "configuration key ");
        assertEquals(
                "configuration key b is missing",
                assertThrows(InvalidInputException.class, () -> fields.text("b"))
                        .getMessage());
        assertEquals(
                "configuration key a should be a number above 0",
                assertThrows(InvalidInputException.class, () -> fields.positive("a"))
                        .getMessage());
        assertNull(new InvalidInputException("x").code());
        assertFalse(new InvalidInputException("x")
                .withNumber(ResultCode.NOT_JSON)
                .getMessage()
                .equals("x"));
    }
}
