package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests each kind of invalid change that the operators' documentation and benchmark list, as a complete configuration
 * and as a patch: each is rejected as a whole, and the current configuration is unchanged.
 */
class RejectedChangesTest {
    private static final long CURRENT_VERSION = 5;

    /** A kind of invalid change, as a complete configuration and as a patch to the current one. */
    private record Change(String name, Reason reason, String document, String patch) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static ConfigurationDocument currentDocument() {
        ChangeRequest first = new ChangeRequest(false, 0, Samples.bytes(Samples.document(CURRENT_VERSION)));
        return assertInstanceOf(
                        ChangeResult.Accepted.class,
                        ConfigurationDocument.decode(null).apply(first))
                .next();
    }

    private static String document(String extraRoute) {
        String routes = Samples.SPLIT_ROUTE + "," + Samples.PLAIN_ROUTE + "," + extraRoute;
        return Samples.document(7, routes, Samples.MODEL_SERVICE + "," + Samples.PLAIN_SERVICE);
    }

    private static String upsert(String list, String item) {
        return "{\"config_version\":7,\"upsert\":{\"" + list + "\":[" + item + "]}}";
    }

    private static Change routeChange(String name, Reason reason, String route) {
        return new Change(name, reason, document(route), upsert("routes", route));
    }

    private static Change tenantChange(String name, Reason reason, String tenants) {
        String document = Samples.document(7).replace(":7,", ":7,\"tenants\":[" + tenants + "],");
        return new Change(name, reason, document, upsert("tenants", tenants));
    }

    private static String tenant(String name, String keys) {
        return "{\"name\":\"" + name + "\",\"access_keys\":[" + keys + "]}";
    }

    private static String route(String target, String replacement) {
        String route = Samples.route("r-3", "/more/", "wuno");
        assertTrue(route.contains(target), target);
        return route.replace(target, replacement);
    }

    static Stream<Change> invalidChanges() {
        String same = Samples.document(CURRENT_VERSION);
        String shared = "{\"name\":\"k-1\",\"key\":\"same\"},{\"name\":\"k-1\",\"key\":\"same\"}";
        return Stream.of(
                routeChange("unknown_service", Reason.UNKNOWN_SERVICE, route("\"wuno\"", "\"unknown\"")),
                routeChange(
                        "unknown_service of a split",
                        Reason.UNKNOWN_SERVICE,
                        route(
                                "\"service\":\"wuno\"",
                                "\"weighted_split\":[{\"service\":\"huvo\",\"weight\":9},"
                                        + "{\"service\":\"unknown\",\"weight\":0}]")),
                routeChange("same_place", Reason.SHARED_PREFIX, route("/more/", "/pufi/")),
                routeChange(
                        "same_place in upper case",
                        Reason.SHARED_PREFIX,
                        route("/more/", "/pufi/").replace("ficu.example", "FICU.example")),
                routeChange(
                        "no_weight",
                        Reason.BAD_WEIGHTS,
                        route(
                                "\"service\":\"wuno\"",
                                "\"weighted_split\":[{\"service\":\"huvo\",\"weight\":0},"
                                        + "{\"service\":\"wuno\",\"weight\":0}]")),
                routeChange("no_timeout", Reason.BAD_TIMEOUT, route("\"timeout_ms\":2500", "\"timeout_ms\":0")),
                new Change(
                        "a service that is still in use",
                        Reason.UNKNOWN_SERVICE,
                        Samples.document(7, Samples.PLAIN_ROUTE, Samples.PLAIN_SERVICE),
                        "{\"config_version\":7,\"remove\":{\"services\":[\"huvo\"]}}"),
                new Change("old_version", Reason.VERSION_NOT_ABOVE, Samples.document(4), "{\"config_version\":4}"),
                new Change("same_version", Reason.VERSION_NOT_ABOVE, same, "{\"config_version\":5}"),
                new Change(
                        "same_version, other content",
                        Reason.VERSION_NOT_ABOVE,
                        Samples.document(CURRENT_VERSION, "", ""),
                        "{\"config_version\":5,\"remove\":{\"routes\":[\"r-1\"]}}"),
                tenantChange(
                        "shared_key",
                        Reason.SHARED_KEY,
                        tenant("a", "\"k-1\",\"k-2\"") + "," + tenant("b", "\"k-3\",\"k-1\"")),
                tenantChange(
                        "shared_key with a JSON escape",
                        Reason.SHARED_KEY,
                        tenant("a", "\"k-1\"") + "," + tenant("b", "\"\\u006b-1\"")),
                tenantChange("an empty key", Reason.EMPTY_KEY, tenant("a", "\"k-1\",\"\"")),
                tenantChange("a tenant name with a line break", Reason.BAD_TENANT_NAME, tenant("a\\r\\nb", "\"k-1\"")),
                tenantChange("a non-ASCII tenant name", Reason.BAD_TENANT_NAME, tenant("\u00e5", "\"k-1\"")),
                tenantChange("a tenant name with surrounding spaces", Reason.BAD_TENANT_NAME, tenant(" a ", "\"k-1\"")),
                new Change(
                        "shared_key: duplicate name",
                        Reason.DUPLICATE_NAME,
                        same.replace(":5,", ":7,\"keys\":[" + shared + "],"),
                        upsert("keys", shared)),
                new Change(
                        "shared_key: duplicate JSON key",
                        Reason.DUPLICATE_KEY,
                        same.replace(":5,", ":7,\"config_version\":9,"),
                        "{\"config_version\":7,\"config_version\":9}"));
    }

    private static void assertRejected(Reason reason, boolean patch, String body) {
        ConfigurationDocument document = currentDocument();
        ChangeRequest request = new ChangeRequest(patch, CURRENT_VERSION, Samples.bytes(body));
        ChangeResult.Invalid rejected = assertInstanceOf(ChangeResult.Invalid.class, document.apply(request));
        assertEquals(reason, rejected.error().reason(), rejected.error().getMessage());
        assertEquals(
                Samples.document(CURRENT_VERSION),
                Samples.text(document.configuration().json()));
    }

    @ParameterizedTest
    @MethodSource("invalidChanges")
    void rejectsACompleteConfiguration(Change change) {
        assertRejected(change.reason(), false, change.document());
    }

    @ParameterizedTest
    @MethodSource("invalidChanges")
    void rejectsAPatch(Change change) {
        assertRejected(change.reason(), true, change.patch());
    }

    /** cut_short: truncated at every byte, as a complete configuration and as a patch. */
    @Test
    void rejectsTruncatedTexts() {
        byte[] complete = Samples.bytes(Samples.document(7));
        byte[] patch = Samples.bytes(upsert("routes", Samples.route("r-3", "/more/", "wuno")));
        for (int length = 0; length < Math.max(complete.length, patch.length); length++) {
            if (length < complete.length) {
                assertRejected(Reason.UNREADABLE, false, Samples.text(Arrays.copyOf(complete, length)));
            }
            if (length < patch.length) {
                assertRejected(Reason.UNREADABLE, true, Samples.text(Arrays.copyOf(patch, length)));
            }
        }
    }

    /** shared_key by a patch that gives a tenant the key of another tenant, which the patch does not contain. */
    @Test
    void rejectsAKeyOfAnotherTenantUnlessTheSameChangeRemovesItThere() {
        String tenants = tenant("a", "\"k-1\",\"k-2\"") + "," + tenant("b", "\"k-3\"");
        ConfigurationDocument withTenants =
                applyValidPatch(currentDocument(), CURRENT_VERSION, upsert("tenants", tenants));
        String shared = upsert("tenants", tenant("b", "\"k-3\",\"k-1\"")).replace(":7,", ":8,");
        ChangeResult.Invalid rejected = assertInstanceOf(
                ChangeResult.Invalid.class, withTenants.apply(new ChangeRequest(true, 7, Samples.bytes(shared))));
        assertEquals(Reason.SHARED_KEY, rejected.error().reason());
        assertEquals("tenants[b].access_keys", rejected.error().key());
        String moved = upsert("tenants", tenant("a", "\"k-2\"") + "," + tenant("b", "\"k-3\",\"k-1\""));
        applyValidPatch(withTenants, 7, moved.replace(":7,", ":8,"));
    }

    private static ConfigurationDocument applyValidPatch(ConfigurationDocument document, long base, String patch) {
        ChangeRequest request = new ChangeRequest(true, base, Samples.bytes(patch));
        return assertInstanceOf(ChangeResult.Accepted.class, document.apply(request))
                .next();
    }

    /** stale_match: the change is based on a version that is no longer, or not yet, the current one. */
    @Test
    void rejectsChangesBasedOnAnotherVersion() {
        for (long expected : new long[] {0, 4, 6, 7}) {
            assertEquals(
                    new ChangeResult.VersionMismatch(CURRENT_VERSION),
                    currentDocument().apply(new ChangeRequest(false, expected, Samples.bytes(Samples.document(7)))));
            assertEquals(
                    new ChangeResult.VersionMismatch(CURRENT_VERSION),
                    currentDocument()
                            .apply(new ChangeRequest(true, expected, Samples.bytes("{\"config_version\":7}"))));
        }
    }
}
