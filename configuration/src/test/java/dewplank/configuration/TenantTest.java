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

/** Tenants of a configuration: how they are read, changed and sent on, and which of them are invalid. */
class TenantTest {
    private static final String KEY = "secret-1";
    private static final String OTHER_KEY = "secret-2";

    /** Lists of tenants between which configurations change; an empty text is a configuration without the field. */
    private static final List<String> LISTS = List.of(
            "",
            "[]",
            "[" + tenant("acme") + "]",
            "[" + tenant("acme", KEY) + "]",
            "[" + tenant("acme", KEY, OTHER_KEY) + "]",
            "[" + tenant("acme", OTHER_KEY) + "," + tenant("heir", KEY) + "]",
            "[" + tenant("heir", KEY) + "," + tenant("acme", OTHER_KEY) + "]");

    private static String tenant(String name, String... keys) {
        String list = keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"";
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + list + "]}";
    }

    /** A document with this value of the field for tenants; without the field where it is empty. */
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

    private static Configuration patched(Configuration base, String changes) throws InvalidConfigurationException {
        return base.patched(Samples.bytes("{\"config_version\":8," + changes + "}"));
    }

    /** The name of the tenant that holds the key. */
    private static Optional<String> holder(Configuration configuration, String key) {
        return configuration
                .tenantDirectory()
                .findByKey(AccessKeyDigest.of(key))
                .map(Tenant::name);
    }

    // ---- reading --------------------------------------------------------------------------------------

    @Test
    void tenantsAreReadInTheirOrderWithDigestsForTheirKeys() throws InvalidConfigurationException {
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
    void aKeyIsFoundByItsWholeTextOnly() throws InvalidConfigurationException {
        Configuration configuration = withTenants("[" + tenant("acme", KEY) + "," + tenant("other", OTHER_KEY) + "]");
        assertEquals(Optional.of("acme"), holder(configuration, KEY));
        assertEquals(Optional.of("other"), holder(configuration, OTHER_KEY));
        for (String unknown : List.of("", "secret-", "secret-12", "Secret-1", " secret-1", "acme")) {
            assertEquals(Optional.empty(), holder(configuration, unknown), unknown);
        }
    }

    @Test
    void aTenantMayListAKeyTwice() throws InvalidConfigurationException {
        assertEquals(Optional.of("acme"), holder(withTenants("[" + tenant("acme", KEY, KEY) + "]"), KEY));
    }

    /** So the removal of the last tenant opens nothing. */
    @Test
    void keysAreRequiredWhereverThereIsAListOfTenants() throws InvalidConfigurationException {
        assertFalse(withTenants("").requiresAccessKeys());
        assertTrue(withTenants("[]").requiresAccessKeys());
        assertTrue(withTenants("[" + tenant("acme") + "]").requiresAccessKeys());
    }

    @Test
    void routesArePublicOnlyWhereTheySaySo() throws InvalidConfigurationException {
        Configuration configuration =
                Samples.parse(document(7, "[]").replace("\"name\":\"r-2\"", "\"public\":true,\"name\":\"r-2\""));
        assertEquals(
                List.of(false, true),
                configuration.routes().stream().map(Route::isPublic).toList());
    }

    @Test
    void noKeyIsPrintedWithATenant() throws InvalidConfigurationException {
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
    void aTenantsNameMustBeAHeaderFieldsValue(String name) {
        assertEquals(
                Reason.BAD_TENANT_NAME, errorOf("[" + tenant(name, KEY) + "]").reason());
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "acme inc", "~!:;,"})
    void aTenantsNameMayBeAnyVisibleText(String name) throws InvalidConfigurationException {
        assertEquals(Optional.of(name), holder(withTenants("[" + tenant(name, KEY) + "]"), KEY));
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
    void anInvalidTenantIsRefusedWithAnErrorThatNamesNoKey(Reason reason, String tenants) {
        InvalidConfigurationException error = errorOf(tenants.replace('\'', '"'));
        assertEquals(reason, error.reason());
        assertFalse(error.getMessage().contains(KEY), error.getMessage());
        assertFalse(error.key().contains(KEY), error.key());
    }

    // ---- changes --------------------------------------------------------------------------------------

    @Test
    void aPatchAddsAndTakesKeysAway() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "," + tenant("other", "x") + "]");
        Configuration both = patched(base, "\"upsert\":{\"tenants\":[" + tenant("acme", KEY, OTHER_KEY) + "]}");
        assertEquals(Optional.of("acme"), holder(both, KEY));
        assertEquals(Optional.of("acme"), holder(both, OTHER_KEY));
        Configuration one = patched(base, "\"upsert\":{\"tenants\":[" + tenant("acme", OTHER_KEY) + "]}");
        assertEquals(Optional.empty(), holder(one, KEY));
        assertEquals(Optional.of("acme"), holder(one, OTHER_KEY));
        assertEquals(Optional.of("other"), holder(one, "x"));
        assertEquals(Optional.of("acme"), holder(base, KEY), "the base stays as it is");
    }

    @Test
    void aPatchMayPassAKeyOnToAnotherTenant() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        Configuration next =
                patched(base, "\"upsert\":{\"tenants\":[" + tenant("heir", KEY) + "," + tenant("acme") + "]}");
        assertEquals(Optional.of("heir"), holder(next, KEY));
        Configuration removed = patched(
                base, "\"upsert\":{\"tenants\":[" + tenant("heir", KEY) + "]},\"remove\":{\"tenants\":[\"acme\"]}");
        assertEquals(Optional.of("heir"), holder(removed, KEY));
    }

    @Test
    void aPatchMayNotGiveATenantTheKeyOfAnother() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        InvalidConfigurationException error = assertThrows(
                InvalidConfigurationException.class,
                () -> patched(base, "\"upsert\":{\"tenants\":[" + tenant("heir", KEY) + "]}"));
        assertEquals(Reason.SHARED_KEY, error.reason());
    }

    @Test
    void theRemovalOfTheLastTenantOpensNothing() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        Configuration next = patched(base, "\"remove\":{\"tenants\":[\"acme\",\"absent\"]}");
        assertEquals(List.of(), next.tenants());
        assertEquals(Optional.empty(), holder(next, KEY));
        assertTrue(next.requiresAccessKeys());
    }

    @Test
    void aPatchMayBringTheFirstTenant() throws InvalidConfigurationException {
        Configuration next = patched(withTenants(""), "\"upsert\":{\"tenants\":[" + tenant("acme", KEY) + "]}");
        assertTrue(next.requiresAccessKeys());
        assertEquals(Optional.of("acme"), holder(next, KEY));
    }

    @Test
    void aPatchOfOtherListsKeepsTheTenants() throws InvalidConfigurationException {
        Configuration base = withTenants("[" + tenant("acme", KEY) + "]");
        Configuration next = patched(base, "\"remove\":{\"routes\":[\"r-2\"]}");
        assertEquals(base.tenants(), next.tenants());
        assertEquals(Optional.of("acme"), holder(next, KEY));
    }

    @Test
    void aDeltaLeadsFromAnyTenantsToAnyOthers() throws InvalidConfigurationException {
        for (String before : LISTS) {
            for (String after : LISTS) {
                Configuration from = Samples.parse(document(7, before));
                Configuration to = Samples.parse(document(9, after));
                assertLeadsTo(to, ConfigurationDelta.apply(from, ConfigurationDelta.between(from, to)));
            }
        }
    }

    @Test
    void aWrittenConfigurationHasTheSameTenants() throws InvalidConfigurationException {
        for (String tenants : LISTS) {
            Configuration configuration = withTenants(tenants);
            assertLeadsTo(configuration, Configuration.parse(configuration.json()));
        }
    }

    private static void assertLeadsTo(Configuration expected, Configuration actual) {
        assertArrayEquals(expected.json(), actual.json());
        assertEquals(expected.tenants(), actual.tenants());
        assertEquals(expected.requiresAccessKeys(), actual.requiresAccessKeys());
        for (String key : List.of(KEY, OTHER_KEY, "x")) {
            assertEquals(holder(expected, key), holder(actual, key));
        }
    }
}
