package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the tenants of a configuration are read, validated, changed and encoded. */
class TenantTest {
    private static final String KEY = "secret-1";
    private static final String OTHER_KEY = "secret-2";

    /** Values of the field for tenants, before or after a change; an empty text means that the field is absent. */
    private static final List<String> TENANT_LISTS = List.of(
            "",
            "[]",
            "[" + tenant("acme") + "]",
            "[" + tenant("acme", KEY) + "]",
            "[" + tenant("acme", KEY, OTHER_KEY) + "]",
            "[" + tenant("acme", OTHER_KEY) + "," + tenant("new-owner", KEY) + "]",
            "[" + tenant("new-owner", KEY) + "," + tenant("acme", OTHER_KEY) + "]");

    private static String tenant(String name, String... keys) {
        String list = keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"";
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + list + "]}";
    }

    /** A document with this value of the field for tenants; without the field if the value is empty. */
    private static String document(long version, String tenants) {
        String field = tenants.isEmpty() ? "" : "\"tenants\":" + tenants + ",";
        return Samples.document(version).replace("\"limits\"", field + "\"limits\"");
    }

    private static Configuration withTenants(String tenants) throws InvalidConfigurationException {
        return Samples.parse(document(7, tenants));
    }

    private static InvalidConfigurationException errorOf(String tenants) {
        return assertThrows(InvalidConfigurationException.class, () -> withTenants(tenants));
    }

    private static Configuration applyPatch(Configuration base, String changes) throws InvalidConfigurationException {
        return base.patched(Samples.bytes("{\"config_version\":8," + changes + "}"));
    }

    /** The name of the tenant that has the key. */
    private static Optional<String> tenantName(Configuration configuration, String key) {
        return configuration
                .tenantDirectory()
                .findByKey(AccessKeyDigest.of(key))
                .map(Tenant::name);
    }

    // ---- reading --------------------------------------------------------------------------------------

    @Test
    void readsTenantsInOrderWithDigestsOfTheirKeys() throws InvalidConfigurationException {
        Configuration configuration = withTenants("[{\"name\":\"acme\",\"access_keys\":[\"" + KEY + "\",\"" + OTHER_KEY
                + "\"],\"priority\":3,\"rate_per_s\":12.5,\"burst_size\":7},{\"name\":\"other\"}]");
        Tenant acme = new Tenant(
                "acme", List.of(AccessKeyDigest.of(KEY), AccessKeyDigest.of(OTHER_KEY)), OptionalInt.of(3), 12.5, 7);
        Tenant other = new Tenant("other", List.of(), OptionalInt.empty(), 0, 0);
        assertEquals(List.of(acme, other), configuration.tenants());
        assertTrue(acme.isLimited());
        assertFalse(other.isLimited());
        assertEquals(Optional.of(acme), configuration.tenantDirectory().findByName("acme"));
        assertEquals(Optional.of(other), configuration.tenantDirectory().findByName("other"));
        assertEquals(Optional.empty(), configuration.tenantDirectory().findByName("Acme"));
    }

    @Test
    void aKeyMatchesOnlyItsCompleteText() throws InvalidConfigurationException {
        Configuration configuration = withTenants("[" + tenant("acme", KEY) + "," + tenant("other", OTHER_KEY) + "]");
        assertEquals(Optional.of("acme"), tenantName(configuration, KEY));
        assertEquals(Optional.of("other"), tenantName(configuration, OTHER_KEY));
        for (String unknown : List.of("", "secret-", "secret-12", "Secret-1", " secret-1", "acme")) {
            assertEquals(Optional.empty(), tenantName(configuration, unknown), unknown);
        }
    }

    @Test
    void aTenantMayListAKeyTwice() throws InvalidConfigurationException {
        assertEquals(Optional.of("acme"), tenantName(withTenants("[" + tenant("acme", KEY, KEY) + "]"), KEY));
    }

    /** An empty list requires keys too, so that removing the last tenant does not open the routes. */
    @Test
    void requiresKeysIfThereIsAListOfTenants() throws InvalidConfigurationException {
        assertFalse(withTenants("").requiresAccessKeys());
        assertTrue(withTenants("[]").requiresAccessKeys());
        assertTrue(withTenants("[" + tenant("acme") + "]").requiresAccessKeys());
    }

    @Test
    void routesArePublicOnlyIfConfigured() throws InvalidConfigurationException {
        Configuration configuration =
                Samples.parse(document(7, "[]").replace("\"name\":\"r-2\"", "\"public\":true,\"name\":\"r-2\""));
        assertEquals(
                List.of(false, true),
                configuration.routes().stream().map(Route::isPublic).toList());
    }

    @Test
    void toStringContainsNoKey() throws InvalidConfigurationException {
        Configuration configuration = withTenants("[" + tenant("acme", KEY) + "]");
        assertFalse(configuration.tenants().toString().contains(KEY));
        assertFalse(AccessKeyDigest.of(KEY).toString().contains(KEY));
    }

    // ---- invalid tenants ------------------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(strings = {"[%s,%s]", "[{\"name\":\"between\"},%s,{\"name\":\"more\",\"access_keys\":[\"x\"]},%s]"})
    void twoTenantsMayNotShareAKey(String list) {
        InvalidConfigurationException error =
                errorOf(String.format(list, tenant("acme", KEY, "a"), tenant("other", "b", KEY)));
        assertEquals(Reason.SHARED_KEY, error.reason());
        assertEquals("tenants[other].access_keys", error.key());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                " acme",
                "acme ",
                " ",
                "ac\\tme",
                "acme\\r\\nX-Own: 1",
                "acme\\n",
                "ac\\u0000me",
                "ac\\u007fme",
                "acm\u00e9",
                "\u20ac"
            })
    void aTenantNameMustBeAValidHeaderValue(String name) {
        assertEquals(
                Reason.BAD_TENANT_NAME, errorOf("[" + tenant(name, KEY) + "]").reason());
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "acme inc", "~!:;,"})
    void aTenantNameMayBeAnyVisibleAsciiText(String name) throws InvalidConfigurationException {
        assertEquals(Optional.of(name), tenantName(withTenants("[" + tenant(name, KEY) + "]"), KEY));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "EMPTY_KEY     | [{'name':'acme','access_keys':['secret-1','']}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':['secret-1',1]}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':['secret-1',null]}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':['secret-1',['secret-2']]}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':'secret-1'}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':{'secret-1':1}}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':['secret-1'],'rate_per_s':'1'}]",
                "WRONG_TYPE    | [{'name':'acme','access_keys':['secret-1'],'priority':1.5}]",
                "OUT_OF_BOUNDS | [{'name':'acme','access_keys':['secret-1'],'priority':-1}]",
                "OUT_OF_BOUNDS | [{'name':'acme','access_keys':['secret-1'],'rate_per_s':-0.1}]",
                "OUT_OF_BOUNDS | [{'name':'acme','access_keys':['secret-1'],'rate_per_s':1e999}]",
                "OUT_OF_BOUNDS | [{'name':'acme','access_keys':['secret-1'],'burst_size':-1}]",
                "MISSING_NAME  | [{'access_keys':['secret-1']}]",
                "MISSING_NAME  | [{'name':'','access_keys':['secret-1']}]",
                "WRONG_TYPE    | [{'name':['secret-1']}]",
                "DUPLICATE_NAME| [{'name':'acme','access_keys':['secret-1']},{'name':'acme'}]",
                "DUPLICATE_KEY | [{'name':'acme','access_keys':['secret-1'],'access_keys':[]}]",
                "SHARED_KEY    | [{'name':'acme','access_keys':['secret-1']},{'name':'b','access_keys':['secret-1']}]",
                "WRONG_TYPE    | ['secret-1']",
                "WRONG_TYPE    | {'name':'acme','access_keys':['secret-1']}",
                "WRONG_TYPE    | 'secret-1'",
                "WRONG_TYPE    | null"
            },
            quoteCharacter = '"')
    void rejectsAnInvalidTenantWithAnErrorThatContainsNoKey(Reason reason, String tenants) {
        InvalidConfigurationException error = errorOf(tenants.replace('\'', '"'));
        assertEquals(reason, error.reason());
        assertFalse(error.getMessage().contains(KEY), error.getMessage());
        assertFalse(error.key().contains(KEY), error.key());
    }

    // ---- changes --------------------------------------------------------------------------------------

    @Test
    void aPatchAddsAndRemovesKeys() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "," + tenant("other", "x") + "]");
        Configuration withBothKeys =
                applyPatch(base, "\"upsert\":{\"tenants\":[" + tenant("acme", KEY, OTHER_KEY) + "]}");
        assertEquals(Optional.of("acme"), tenantName(withBothKeys, KEY));
        assertEquals(Optional.of("acme"), tenantName(withBothKeys, OTHER_KEY));
        Configuration withOneKey = applyPatch(base, "\"upsert\":{\"tenants\":[" + tenant("acme", OTHER_KEY) + "]}");
        assertEquals(Optional.empty(), tenantName(withOneKey, KEY));
        assertEquals(Optional.of("acme"), tenantName(withOneKey, OTHER_KEY));
        assertEquals(Optional.of("other"), tenantName(withOneKey, "x"));
        assertEquals(Optional.of("acme"), tenantName(base, KEY), "the base is unchanged");
    }

    @Test
    void aPatchMayMoveAKeyToAnotherTenant() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        Configuration next =
                applyPatch(base, "\"upsert\":{\"tenants\":[" + tenant("new-owner", KEY) + "," + tenant("acme") + "]}");
        assertEquals(Optional.of("new-owner"), tenantName(next, KEY));
        Configuration removed = applyPatch(
                base,
                "\"upsert\":{\"tenants\":[" + tenant("new-owner", KEY) + "]},\"remove\":{\"tenants\":[\"acme\"]}");
        assertEquals(Optional.of("new-owner"), tenantName(removed, KEY));
    }

    @Test
    void aPatchMayNotAddTheKeyOfAnotherTenant() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        InvalidConfigurationException error = assertThrows(
                InvalidConfigurationException.class,
                () -> applyPatch(base, "\"upsert\":{\"tenants\":[" + tenant("new-owner", KEY) + "]}"));
        assertEquals(Reason.SHARED_KEY, error.reason());
    }

    @Test
    void keysAreStillRequiredAfterTheLastTenantIsRemoved() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        Configuration next = applyPatch(base, "\"remove\":{\"tenants\":[\"acme\",\"absent\"]}");
        assertEquals(List.of(), next.tenants());
        assertEquals(Optional.empty(), tenantName(next, KEY));
        assertTrue(next.requiresAccessKeys());
    }

    @Test
    void aPatchMayAddTheFirstTenant() throws InvalidConfigurationException {
        Configuration next = applyPatch(withTenants(""), "\"upsert\":{\"tenants\":[" + tenant("acme", KEY) + "]}");
        assertTrue(next.requiresAccessKeys());
        assertEquals(Optional.of("acme"), tenantName(next, KEY));
    }

    @Test
    void aPatchOfOtherListsDoesNotChangeTheTenants() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        Configuration next = applyPatch(base, "\"remove\":{\"routes\":[\"r-2\"]}");
        assertEquals(base.tenants(), next.tenants());
        assertEquals(Optional.of("acme"), tenantName(next, KEY));
    }

    @Test
    void applyingADeltaYieldsTheTenantsOfTheLaterConfiguration() throws InvalidConfigurationException {
        for (String before : TENANT_LISTS) {
            for (String after : TENANT_LISTS) {
                Configuration from = Samples.parse(document(7, before));
                Configuration to = Samples.parse(document(9, after));
                assertSameTenants(to, ConfigurationDelta.apply(from, ConfigurationDelta.between(from, to)));
            }
        }
    }

    @Test
    void aWrittenConfigurationIsReadBackWithTheSameTenants() throws InvalidConfigurationException {
        for (String tenants : TENANT_LISTS) {
            Configuration configuration = withTenants(tenants);
            assertSameTenants(configuration, Configuration.parse(configuration.json()));
        }
    }

    private static void assertSameTenants(Configuration expected, Configuration actual) {
        assertArrayEquals(expected.json(), actual.json());
        assertEquals(expected.tenants(), actual.tenants());
        assertEquals(expected.requiresAccessKeys(), actual.requiresAccessKeys());
        for (String key : List.of(KEY, OTHER_KEY, "x")) {
            assertEquals(tenantName(expected, key), tenantName(actual, key));
        }
    }
}
