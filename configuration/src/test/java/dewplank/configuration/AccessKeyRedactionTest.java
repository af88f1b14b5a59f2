package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that output for people and logs contains no access key. */
class AccessKeyRedactionTest {
    private static final String KEY = "unique-access-key";
    private static final String OTHER_KEY = "second-unique-access-key";
    /** The start of the SHA-256 digest of "abc", which is an example in FIPS 180. */
    private static final String FINGERPRINT_OF_ABC = "sha256:ba7816bf";

    private static String withTenants(String tenants) {
        return Samples.document(7).replace(":7,", ":7,\"tenants\":[" + tenants + "],");
    }

    private static String tenant(String name, String keys) {
        return "{\"name\":\"" + name + "\",\"access_keys\":" + keys + ",\"rate_per_s\":2.50,\"note\":[1e2]}";
    }

    private static String redact(String text) throws InvalidConfigurationException {
        return Samples.text(Samples.parse(text).redactedJson());
    }

    @Test
    void replacesEachKeyWithItsFingerprintAndChangesNothingElse() throws InvalidConfigurationException {
        String text = withTenants(tenant("a", "[\"abc\",\"" + KEY + "\"]") + "," + tenant("b", "[]"));
        String fingerprint = AccessKeyDigest.of(KEY).fingerprint();
        assertEquals(text.replace("\"abc\"", "\"" + FINGERPRINT_OF_ABC + "\"").replace(KEY, fingerprint), redact(text));
        assertEquals(text, Samples.text(Samples.parse(text).json()));
    }

    @Test
    void doesNotChangeTextsWithoutKeys() throws InvalidConfigurationException {
        for (String text : List.of(
                Samples.document(7),
                withTenants(""),
                withTenants("{\"name\":\"a\"}"),
                withTenants(tenant("a", "null")))) {
            assertEquals(text, redact(text));
        }
    }

    @Provide
    static Arbitrary<List<String>> keys() {
        return Arbitraries.strings()
                .withChars("abcdefghijklmnopqrstuvwxyzABCXYZ0123456789-_.~+/=\\\"")
                .ofMinLength(12)
                .ofMaxLength(40)
                .list()
                .ofMaxSize(5);
    }

    @Property(tries = 300)
    void redactedTextsContainNoKey(@ForAll("keys") List<String> keys) throws InvalidConfigurationException {
        String keyList = keys.stream()
                .map(key -> Samples.text(JsonTextWriter.write(new JsonValue.JsonString(key))))
                .collect(Collectors.joining(",", "[", "]"));
        String redactedText = redact(withTenants(tenant("a", keyList)));
        for (String key : keys) {
            assertFalse(redactedText.contains(key), redactedText);
            assertTrue(redactedText.contains("\"" + AccessKeyDigest.of(key).fingerprint() + "\""), redactedText);
        }
    }

    @Test
    void distinguishesFingerprintsFromKeys() {
        assertTrue(AccessKeyDigest.isFingerprint(AccessKeyDigest.of(KEY).fingerprint()));
        for (String key :
                List.of(KEY, "", "sha256:", "sha256:ba7816b", "sha256:ba7816bf0", "ba7816bf", "sha256:BA7816BF")) {
            assertFalse(AccessKeyDigest.isFingerprint(key), key);
        }
    }

    @Test
    void toStringContainsNoKey() throws InvalidConfigurationException {
        Configuration configuration = Samples.parse(withTenants(tenant("a", "[\"" + KEY + "\"]")));
        assertFalse(configuration.tenants().toString().contains(KEY));
        assertFalse(configuration.toString().contains(KEY));
        assertFalse(configuration.sections().toString().contains(KEY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"name\":\"a\",\"access_keys\":[\"KEY\"]},{\"name\":\"b\",\"access_keys\":[\"OTHER\",\"KEY\"]}",
                "{\"name\":\"a\",\"access_keys\":[\"KEY\",7]}",
                "{\"name\":\"a\",\"access_keys\":[\"KEY\",\"\"]}",
                "{\"name\":\"a\",\"access_keys\":\"KEY\"}",
                "{\"name\":\"a\",\"access_keys\":{\"key\":\"KEY\"}}",
                "{\"name\":\"a\",\"access_keys\":[\"KEY\"],\"access_keys\":[\"OTHER\"]}",
                "{\"name\":\"a\",\"access_keys\":[\"KEY\"]},{\"name\":\"a\",\"access_keys\":[\"OTHER\"]}",
                "{\"name\":\"a\",\"access_keys\":[\"KEY\"],\"rate_per_s\":-1}",
                "{\"name\":\"\",\"access_keys\":[\"KEY\"]}",
                "{\"access_keys\":[\"KEY\"]}",
                "{\"name\":\" a\",\"access_keys\":[\"KEY\"]}",
                "\"KEY\""
            })
    void errorMessagesContainNoKey(String tenants) {
        String text = withTenants(tenants.replace("KEY", KEY).replace("OTHER", OTHER_KEY));
        assertContainsNoKey(assertThrows(InvalidConfigurationException.class, () -> Samples.parse(text), text));
    }

    @Test
    void errorMessagesForTruncatedTextsContainNoKey() {
        byte[] complete = Samples.bytes(withTenants(tenant("a", "[\"" + KEY + "\",\"" + OTHER_KEY + "\"]")));
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertContainsNoKey(
                    assertThrows(InvalidConfigurationException.class, () -> Configuration.parse(truncated)));
        }
    }

    /** Checks the messages of the error and of its causes, which logs print with the stack trace. */
    private static void assertContainsNoKey(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            assertFalse(String.valueOf(cause.getMessage()).contains(KEY), cause.getMessage());
            assertFalse(String.valueOf(cause.getMessage()).contains(OTHER_KEY), cause.getMessage());
        }
    }
}
