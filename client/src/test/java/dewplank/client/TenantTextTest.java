package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.AccessKeyDigest;
import dewplank.configuration.Configuration;
import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests how tenants and their access keys are shown to operators. */
class TenantTextTest {
    private static final String KEY = "key-of-nobody-else";
    private static final String NEW_KEY = "new-key-of-nobody-else";
    private static final String TENANTS = "{\"name\":\"small\",\"access_keys\":[\"" + KEY + "\"]},"
            + "{\"name\":\"large\",\"access_keys\":[\"l-1\",\"l-2\",\"l-1\"],\"priority\":2,\"rate_per_s\":7.5,"
            + "\"burst_size\":30}";
    private static final String ROTATION = "{\"config_version\":8,\"upsert\":{\"tenants\":"
            + "[{\"name\":\"small\",\"access_keys\":[\"" + KEY + "\",\"" + NEW_KEY + "\"]}]}}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String configuration(String fields) {
        return "{\"config_version\":7,\"routes\":[],\"services\":[]" + fields + "}";
    }

    private static Configuration parse(String text) {
        return ConfigurationChanges.apply(null, bytes(text));
    }

    private static Configuration withTenants() {
        return parse(configuration(",\"tenants\":[" + TENANTS + "]"));
    }

    private static String fingerprint(String key) {
        return AccessKeyDigest.of(key).fingerprint();
    }

    @Test
    void tenantsAreListedWithTheirLimits() {
        assertEquals(
                """
            configuration 7
            TENANT  KEYS  PRIORITY     RATE/S  BURST  LIMITED
            small   1     its route's  0       0      no
            large   2     2            7.5     30     yes
            """,
                TenantText.of(withTenants()));
        assertEquals(
                "{\"config_version\":7,\"keys_required\":true,\"tenants\":["
                        + "{\"name\":\"small\",\"access_key_count\":1,\"priority\":null,\"rate_per_s\":0.0,"
                        + "\"burst_size\":0.0,\"limited\":false},"
                        + "{\"name\":\"large\",\"access_key_count\":2,\"priority\":2,\"rate_per_s\":7.5,"
                        + "\"burst_size\":30.0,\"limited\":true}]}",
                TenantText.json(withTenants()));
    }

    @Test
    void distinguishesAnEmptyTenantListFromNoTenantList() {
        Configuration none = parse(configuration(""));
        assertEquals("configuration 7 has no tenants: no request needs an access key\n", TenantText.of(none));
        assertEquals("{\"config_version\":7,\"keys_required\":false,\"tenants\":[]}", TenantText.json(none));
        Configuration empty = parse(configuration(",\"tenants\":[]"));
        assertEquals(2, TenantText.of(empty).lines().count());
        assertEquals("{\"config_version\":7,\"keys_required\":true,\"tenants\":[]}", TenantText.json(empty));
    }

    @Test
    void aConfigurationShowsFingerprintsUnlessKeysAreRequested() {
        String shown = ConfigurationText.of(withTenants(), KeyDisplay.FINGERPRINTS);
        assertTrue(shown.contains("small   " + fingerprint(KEY) + "\n"), shown);
        assertFalse(shown.contains(KEY), shown);
        assertFalse(KeyDisplay.FINGERPRINTS.json(withTenants()).contains(KEY));
        String withKeys = ConfigurationText.of(withTenants(), KeyDisplay.WHOLE);
        assertTrue(withKeys.contains("small   " + KEY + "\nlarge   l-1 l-2 l-1\n"), withKeys);
        assertTrue(KeyDisplay.WHOLE.json(withTenants()).contains("[\"" + KEY + "\"]"));
    }

    private static String difference(KeyDisplay keys) {
        Configuration before = withTenants();
        Configuration after = ConfigurationChanges.apply(before, bytes(ROTATION));
        return ConfigurationDifference.between(before, after, keys).stream()
                .map(Change::line)
                .collect(Collectors.joining("\n"));
    }

    @Test
    void aDifferenceShowsFingerprintsUnlessKeysAreRequested() {
        String old = fingerprint(KEY);
        assertEquals(
                "~ config_version 7 -> 8\n~ tenants[small].access_keys [\"" + old + "\"] -> [\"" + old + "\",\""
                        + fingerprint(NEW_KEY) + "\"]",
                difference(KeyDisplay.FINGERPRINTS));
        assertTrue(difference(KeyDisplay.WHOLE).endsWith("[\"" + KEY + "\"] -> [\"" + KEY + "\",\"" + NEW_KEY + "\"]"));
    }

    /** Applying the file would replace the tenants' keys with fingerprints and thus revoke the keys of all clients. */
    @Test
    void aFileWithFingerprintsIsRejected() {
        String shown = KeyDisplay.FINGERPRINTS.json(withTenants());
        String patch = ROTATION.replace(KEY, fingerprint(KEY));
        ConfigurationChanges changes = new ConfigurationChanges(null); // the files are rejected before any call
        for (String file : List.of(shown, patch)) {
            for (InvalidInputException rejection : List.of(
                    assertThrows(InvalidInputException.class, () -> changes.put(bytes(file), 7L)),
                    assertThrows(InvalidInputException.class, () -> changes.patch(bytes(file), 7L)),
                    assertThrows(
                            InvalidInputException.class,
                            () -> ConfigurationChanges.apply(withTenants(), bytes(file))))) {
                assertSame(ResultCode.INVALID_CONFIGURATION, rejection.code());
                assertTrue(rejection.getMessage().contains("tenants[small].access_keys"), rejection.getMessage());
            }
        }
    }
}
