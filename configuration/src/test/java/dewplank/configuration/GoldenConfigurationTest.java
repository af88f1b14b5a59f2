package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import dewplank.configuration.ChangeResult.AlreadyAccepted;
import dewplank.configuration.ChangeResult.VersionMismatch;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that register payloads and configuration differences are byte for byte those of an earlier release. */
class GoldenConfigurationTest {
    private static final int MAX_PLAIN_BYTES = 1 << 20;

    /** The first change: the complete configuration of version 5. */
    private static final ChangeRequest FIRST_CHANGE = new ChangeRequest(false, 0, resource("request-5.json"));

    /** The second change: a patch from version 5 to version 9. */
    private static final ChangeRequest SECOND_CHANGE =
            new ChangeRequest(true, 5, Samples.bytes("{\"config_version\":9}"));

    private static byte[] resource(String name) {
        try (InputStream in = GoldenConfigurationTest.class.getResourceAsStream("/golden/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static ConfigurationDocument document(String name) {
        return ConfigurationDocument.decode(resource(name));
    }

    private static byte[] inflate(byte[] payload) throws IOException {
        return DeflateCodec.inflate(Arrays.copyOfRange(payload, 1, payload.length), MAX_PLAIN_BYTES);
    }

    // ---- payloads -------------------------------------------------------------------------------------

    /** Format 1: each change with its base version and the full digest. */
    @Test
    void readsAPayloadOfTheFirstRelease() {
        ConfigurationDocument document = document("plain-format-1.payload");
        assertEquals(5, document.version());
        assertHasTwoRoutes(document.configuration());
        assertEquals(new AlreadyAccepted(5), document.apply(FIRST_CHANGE));
        assertEquals(new VersionMismatch(5), document.apply(new ChangeRequest(false, 0, SECOND_CHANGE.body())));
    }

    /** Format 2: half a digest per change, not compressed. */
    @Test
    void readsAnUncompressedPayload() throws IOException {
        ConfigurationDocument document = document("plain-format-2.payload");
        assertEquals(9, document.version());
        assertEquals(
                text(resource("configuration-9.json")),
                text(document.configuration().json()));
        assertHasTwoRoutes(document.configuration());
        assertEquals(new AlreadyAccepted(5), document.apply(FIRST_CHANGE));
        assertEquals(new AlreadyAccepted(9), document.apply(SECOND_CHANGE));
        byte[] payload = document.encode();
        assertEquals(64, payload[0]);
        assertArrayEquals(resource("plain-format-2.payload"), inflate(payload));
    }

    /** The bytes after the first one are deflated; their exact values depend on the compression library. */
    @Test
    void readsACompressedPayload() throws IOException {
        byte[] stored = resource("compressed.payload");
        assertEquals("407801", HexFormat.of().formatHex(stored, 0, 3));
        ConfigurationDocument document = ConfigurationDocument.decode(stored);
        assertEquals(12, document.version());
        Configuration configuration = document.configuration();
        assertEquals(40, configuration.routes().size());
        assertIsPlainRoute(configuration.routes().get(0));
        for (int index = 1; index < 40; index++) {
            assertIsSplitRoute(index, configuration.routes().get(index));
        }
        assertEquals(new AlreadyAccepted(5), document.apply(FIRST_CHANGE));
        assertEquals(new AlreadyAccepted(9), document.apply(SECOND_CHANGE));
        String third = text(configuration.json()).replace("\u00e9", "\\u00e9"); // as the operator wrote it
        assertEquals(new AlreadyAccepted(12), document.apply(new ChangeRequest(false, 9, Samples.bytes(third))));
        byte[] payload = document.encode();
        assertEquals("407801", HexFormat.of().formatHex(payload, 0, 3));
        assertArrayEquals(inflate(stored), inflate(payload));
    }

    @Test
    void applyingTheChangesYieldsTheSamePayload() throws IOException {
        ConfigurationDocument empty = ConfigurationDocument.decode(null);
        assertEquals(0, empty.version());
        assertNull(empty.configuration());
        ConfigurationDocument first = ((ChangeResult.Accepted) empty.apply(FIRST_CHANGE)).next();
        ConfigurationDocument second = ((ChangeResult.Accepted) first.apply(SECOND_CHANGE)).next();
        assertArrayEquals(resource("plain-format-2.payload"), inflate(second.encode()));
    }

    @Test
    void changesHaveTheSameDigests() {
        assertEquals(
                "a38815e71438a3e1368a2bcd36d36d711293923e4c8c9e913691f5c3910cfa4b",
                HexFormat.of().formatHex(FIRST_CHANGE.digest()));
        assertEquals(
                "1f03e2f4cb2d08c39f9c0f5055bc2399aae225515cbb03b660e50536ed16c023",
                HexFormat.of().formatHex(SECOND_CHANGE.digest()));
    }

    private static void assertHasTwoRoutes(Configuration configuration) {
        assertEquals(2, configuration.routes().size());
        assertIsPlainRoute(configuration.routes().get(0));
        assertIsSplitRoute(1, configuration.routes().get(1));
        assertEquals(
                List.of("huvo", "wuno"), List.copyOf(configuration.services().keySet()));
        assertEquals(
                new Service(
                        "huvo",
                        "/health",
                        370,
                        "h1",
                        false,
                        new EngineProfile(64, 295_697, 163_840, 1_300_000, 8, 5_000, 1_200, List.of("m"))),
                configuration.services().get("huvo"));
        assertEquals(
                new Service("wuno", "/ok", 110, "h1", true, null),
                configuration.services().get("wuno"));
        assertEquals(new RequestLimits(16_000, 4_000_000, 2_999.5, 15_001), configuration.limits());
    }

    private static void assertIsPlainRoute(Route route) {
        List<WeightedService> split = List.of(new WeightedService("wuno", 1));
        assertEquals(
                new Route(
                        "p-1",
                        "ficu.example",
                        "/pufi/",
                        RouteType.SAFE,
                        2_500,
                        400,
                        0,
                        split,
                        1,
                        false,
                        false,
                        false,
                        0),
                route);
    }

    private static void assertIsSplitRoute(int index, Route route) {
        List<WeightedService> split = List.of(new WeightedService("huvo", 90), new WeightedService("wuno", 10));
        assertEquals(
                new Route(
                        "r-" + index,
                        "ficu.example",
                        "/lohu" + index + "/",
                        RouteType.STREAMING,
                        4_000 + index,
                        500,
                        1,
                        split,
                        2,
                        true,
                        true,
                        false,
                        150),
                route);
    }

    // ---- differences ----------------------------------------------------------------------------------

    /** Each line contains the two versions and the difference in hexadecimal digits, separated by a tab. */
    private static Map<String, byte[]> deltas() {
        Map<String, byte[]> deltas = new LinkedHashMap<>();
        for (String line : text(resource("deltas.txt")).lines().toList()) {
            String[] columns = line.split("\t");
            deltas.put(columns[0], HexFormat.of().parseHex(columns[1]));
        }
        return deltas;
    }

    @Test
    void differencesHaveTheSameBytes() throws InvalidConfigurationException {
        Configuration fifth = document("plain-format-1.payload").configuration();
        Configuration ninth = Configuration.parse(resource("configuration-9.json"));
        Configuration thirteenth = Configuration.parse(resource("configuration-13.json"));
        Map<String, byte[]> deltas = deltas();
        assertEquals(List.of("5 to 9", "9 to 13", "13 to 9"), List.copyOf(deltas.keySet()));
        assertDelta(ninth, fifth, deltas.get("5 to 9"));
        assertDelta(thirteenth, ninth, deltas.get("9 to 13"));
        assertDelta(ninth, thirteenth, deltas.get("13 to 9"));
    }

    private static void assertDelta(Configuration to, Configuration from, byte[] delta)
            throws InvalidConfigurationException {
        assertNotNull(delta);
        assertEquals(HexFormat.of().formatHex(delta), HexFormat.of().formatHex(ConfigurationDelta.between(from, to)));
        Configuration applied = ConfigurationDelta.apply(from, delta);
        assertEquals(to.version(), applied.version());
        assertEquals(text(to.json()), text(applied.json()));
    }
}
