package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import dewplank.configuration.ChangeResult.Accepted;
import dewplank.configuration.ChangeResult.AlreadyAccepted;
import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonLiteral;
import dewplank.configuration.JsonValue.JsonNumber;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Properties over random configurations; a failure prints its seed. */
class ConfigurationPropertyTest {
    private static final int SERVICES = 4;
    private static final List<String> NUMERALS = List.of("0", "-0", "1.50", "1e3", "-12345678901234567890.01E-7");
    private static final List<String> STRINGS =
            List.of("", "a", "\"", "\\", "\u0000\n", "\u00e9", "\u20ac", "\ud83d\ude00", "\u007f", "\u2028");

    private static <T> T pickRandom(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private static JsonValue value(Random random, int depth) {
        return switch (random.nextInt(depth > 0 ? 5 : 3)) {
            case 0 -> new JsonNumber(pickRandom(random, NUMERALS));
            case 1 -> new JsonString(pickRandom(random, STRINGS));
            case 2 -> pickRandom(random, List.of(JsonLiteral.values()));
            case 3 -> new JsonArray(List.of(value(random, depth - 1), value(random, depth - 1)));
            default -> object(random, depth - 1);
        };
    }

    private static JsonObject object(Random random, int depth) {
        JsonObject object = new JsonObject(new LinkedHashMap<>());
        for (int count = random.nextInt(4); count > 0; count--) {
            object.members().put(pickRandom(random, STRINGS), value(random, depth));
        }
        return object;
    }

    private static String unknownValue(Random random) {
        return Samples.text(JsonTextWriter.write(value(random, 4)));
    }

    private static String services(Random random) {
        StringBuilder list = new StringBuilder();
        for (int index = 0; index < SERVICES; index++) {
            list.append(index == 0 ? "" : ",")
                    .append("{\"name\":\"s")
                    .append(index)
                    .append("\",\"x\":")
                    .append(unknownValue(random))
                    .append('}');
        }
        return list.toString();
    }

    private static String route(Random random, int index) {
        String route = Samples.route("r" + index, "/p" + index + "/", "s" + random.nextInt(SERVICES));
        return random.nextBoolean()
                ? route
                : route.replace("\"sticky\"", "\"x\":" + unknownValue(random) + ",\"sticky\"");
    }

    private static String document(Random random, long version) {
        List<String> routes = new ArrayList<>();
        for (int index = 0; index < 12; index++) {
            if (random.nextBoolean()) {
                routes.add(route(random, index));
            }
        }
        Collections.shuffle(routes, random);
        String text = Samples.document(version, String.join(",", routes), services(random));
        String unknownField = "\"note\":" + unknownValue(random) + ",\"limits\"";
        return random.nextBoolean() ? text : text.replace("\"limits\"", unknownField);
    }

    private static String patch(Random random, long version) {
        int added = random.nextInt(12);
        return "{\"config_version\":" + version + ",\"upsert\":{\"routes\":[" + route(random, added) + "],\"keys\":["
                + "{\"name\":\"k" + random.nextInt(3) + "\",\"x\":" + unknownValue(random) + "}]},"
                + "\"remove\":{\"routes\":[\"r"
                + random.nextInt(12) + "\"],\"keys\":[\"k" + random.nextInt(3) + "\"]}}";
    }

    @Property
    void aWrittenConfigurationIsReadBackUnchanged(@ForAll long seed) throws InvalidConfigurationException {
        Configuration configuration = Samples.parse(document(new Random(seed), 1));
        Configuration reparsed = Configuration.parse(configuration.json());
        assertArrayEquals(configuration.json(), reparsed.json());
        assertEquals(configuration.routes(), reparsed.routes());
        assertEquals(configuration.services(), reparsed.services());
        assertEquals(configuration.limits(), reparsed.limits());
    }

    @Property
    void applyingADeltaYieldsTheSameBytes(@ForAll long seed) throws InvalidConfigurationException {
        Random random = new Random(seed);
        Configuration from = Samples.parse(document(random, 1));
        Configuration to = random.nextBoolean()
                ? Samples.parse(document(random, 2))
                : from.patched(Samples.bytes(patch(random, 2)));
        Configuration applied = ConfigurationDelta.apply(from, ConfigurationDelta.between(from, to));
        assertArrayEquals(to.json(), applied.json());
        assertEquals(to.routes(), applied.routes());
        assertEquals(to.services(), applied.services());
        assertEquals(to.limits(), applied.limits());
    }

    @Property
    void aPatchedConfigurationEqualsItsReparsedText(@ForAll long seed) throws InvalidConfigurationException {
        Random random = new Random(seed);
        Configuration patched = Samples.parse(document(random, 1)).patched(Samples.bytes(patch(random, 2)));
        Configuration reparsed = Configuration.parse(patched.json());
        assertArrayEquals(patched.json(), reparsed.json());
        assertEquals(patched.routes(), reparsed.routes());
    }

    @Property(tries = 200)
    void everyAcceptedChangeIsRecognisedWhenRetried(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationDocument document = ConfigurationDocument.decode(null);
        List<ChangeRequest> accepted = new ArrayList<>();
        for (long version = 1; version < 12; version++) {
            boolean patch = version > 1 && random.nextBoolean();
            String body = patch ? patch(random, version) : document(random, version);
            ChangeRequest request = new ChangeRequest(patch, version - 1, Samples.bytes(body));
            document = assertInstanceOf(Accepted.class, document.apply(request)).next();
            document = ConfigurationDocument.decode(document.encode());
            accepted.add(request);
            for (int index = 0; index < accepted.size(); index++) {
                assertEquals(new AlreadyAccepted(index + 1), document.apply(accepted.get(index)));
            }
        }
    }

    @Property
    void corruptedTextsThrowNoUncheckedException(@ForAll long seed) throws InvalidConfigurationException {
        Random random = new Random(seed);
        Configuration base = Samples.parse(Samples.document(1));
        byte[] body = Samples.bytes(random.nextBoolean() ? document(random, 2) : patch(random, 2));
        byte[] corrupted = corrupt(random, body);
        assertThrowsNoUncheckedException(() -> Configuration.parse(corrupted));
        assertThrowsNoUncheckedException(() -> base.patched(corrupted));
        byte[] delta = ConfigurationDelta.between(base, Samples.parse(document(random, 2)));
        byte[] corruptedDelta = corrupt(random, delta);
        assertThrowsNoUncheckedException(() -> ConfigurationDelta.apply(base, corruptedDelta));
    }

    private interface Parser {
        void parse() throws InvalidConfigurationException;
    }

    private static void assertThrowsNoUncheckedException(Parser parser) {
        try {
            parser.parse();
        } catch (InvalidConfigurationException expected) {
            assertEquals(false, expected.getMessage().isEmpty());
        }
    }

    private static byte[] corrupt(Random random, byte[] text) {
        byte[] corrupted = random.nextInt(4) == 0 ? Arrays.copyOf(text, random.nextInt(text.length)) : text.clone();
        for (int count = random.nextInt(4); count > 0 && corrupted.length > 0; count--) {
            byte replacement = random.nextBoolean()
                    ? (byte) random.nextInt(256)
                    : (byte) "{}[]\",:\\0-etn".charAt(random.nextInt(13));
            corrupted[random.nextInt(corrupted.length)] = replacement;
        }
        return corrupted;
    }
}
