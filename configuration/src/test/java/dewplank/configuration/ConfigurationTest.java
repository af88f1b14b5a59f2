package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationTest {
    private static Configuration applyPatch(Configuration base, String patch) throws InvalidConfigurationException {
        return base.patched(Samples.bytes(patch));
    }

    private static Reason rejectionReason(Configuration base, String patch) {
        return assertThrows(InvalidConfigurationException.class, () -> applyPatch(base, patch))
                .reason();
    }

    private static List<String> names(Configuration configuration) {
        return configuration.routes().stream().map(Route::name).toList();
    }

    @Test
    void readsACompleteConfiguration() throws InvalidConfigurationException {
        Configuration configuration = Samples.parse(Samples.document(7));
        assertEquals(7, configuration.version());
        assertEquals(
                List.of(
                        new Route(
                                "r-1",
                                "ficu.example",
                                "/lohu/",
                                RouteType.STREAMING,
                                4000,
                                500,
                                1,
                                List.of(new WeightedService("huvo", 90), new WeightedService("wuno", 10)),
                                2,
                                true,
                                true,
                                false,
                                150),
                        new Route(
                                "r-2",
                                "ficu.example",
                                "/pufi/",
                                RouteType.SAFE,
                                2500,
                                400,
                                0,
                                List.of(new WeightedService("huvo", 1)),
                                1,
                                false,
                                false,
                                false,
                                0)),
                configuration.routes());
        assertEquals(
                new Service(
                        "huvo",
                        "/health",
                        370,
                        "h1",
                        false,
                        new EngineProfile(64, 295_697, 163_840, 1_300_000, 8, 5_000, 1_200, List.of("m"))),
                configuration.services().get("huvo"));
        assertNull(configuration.services().get("wuno").engine());
        assertEquals(new RequestLimits(16_000, 4_000_000, 2_999.5, 15_001), configuration.limits());
    }

    @Test
    void usesDefaultsForAbsentFields() throws InvalidConfigurationException {
        Configuration configuration = Samples.parse("{\"config_version\":1,\"routes\":[{\"name\":\"r\","
                + "\"host_name\":\"h\",\"path_prefix\":\"/\",\"timeout_ms\":9.5,\"service\":\"s\","
                + "\"weighted_split\":null}],\"services\":[{\"name\":\"s\"}]}");
        assertEquals(
                List.of(new Route(
                        "r",
                        "h",
                        "/",
                        RouteType.UNSAFE,
                        9.5,
                        9.5,
                        0,
                        List.of(new WeightedService("s", 1)),
                        1,
                        false,
                        false,
                        false,
                        0)),
                configuration.routes());
        assertEquals(RequestLimits.DEFAULTS, configuration.limits());
        assertEquals(
                new Service("s", "/health", Integer.MAX_VALUE, "h1", false, null),
                configuration.services().get("s"));
    }

    @Test
    void preservesUnknownFieldsAndTheTextOfNumbers() throws InvalidConfigurationException {
        String text = "{\"note\":{\"x\":[1.0,1e5,-0,12345678901234567890.10,null,true,"
                + "\"\\u0001\\\"\\\\/\u00e9\ud83d\ude00\"]},"
                + "\"config_version\":3.0,\"services\":[{\"extra\":[],\"name\":\"s\",\"max_connections\":1E2}],"
                + "\"routes\":[],\"tags\":[\"a\",{\"name\":\"b\"}],\"\":{}}";
        Configuration configuration =
                Samples.parse(" " + text.replace(",", " ,\n\t").replace(":", ": ") + "\r\n");
        assertEquals(text, Samples.text(configuration.json()));
        assertEquals(3, configuration.version());
        assertEquals(100, configuration.services().get("s").maxConnections());
    }

    @Test
    void writesOnlyNecessaryEscapes() throws InvalidConfigurationException {
        String lists = "{\"config_version\":1,\"routes\":[],\"services\":[],\"x\":";
        String text = lists + "\"\\u0041\\/\\ud83d\\ude00\\n\\u007f\"}";
        String written = Samples.text(Samples.parse(text).json());
        assertEquals(lists + "\"A/\ud83d\ude00\\u000a\u007f\"}", written);
    }

    @Test
    void patchReplacesItemsInPlaceAppendsNewOnesAndRemovesOthers() throws InvalidConfigurationException {
        Configuration base = Samples.parse(Samples.document(7));
        Configuration next = applyPatch(
                base,
                "{\"config_version\":9,\"upsert\":{\"routes\":["
                        + Samples.route("r-3", "/new/", "wuno") + "," + Samples.route("r-1", "/lohu/", "wuno")
                        + "]},\"remove\":{\"routes\":[\"r-2\",\"r-absent\"],\"absent\":[\"x\"]}}");
        assertEquals(9, next.version());
        assertEquals(List.of("r-1", "r-3"), names(next));
        assertEquals(
                Samples.document(
                        9,
                        Samples.route("r-1", "/lohu/", "wuno") + "," + Samples.route("r-3", "/new/", "wuno"),
                        Samples.MODEL_SERVICE + "," + Samples.PLAIN_SERVICE),
                Samples.text(next.json()));
        assertEquals(List.of("r-1", "r-2"), names(base));
    }

    @Test
    void patchMayMoveAPrefixFromOneRouteToAnother() throws InvalidConfigurationException {
        Configuration next = applyPatch(
                Samples.parse(Samples.document(7)),
                "{\"config_version\":9,\"upsert\":{\"routes\":[" + Samples.route("r-3", "/pufi/", "wuno")
                        + "]},\"remove\":{\"routes\":[\"r-2\"]}}");
        assertEquals(List.of("r-1", "r-3"), names(next));
    }

    @Test
    void patchChangesUnknownListsAndOtherFields() throws InvalidConfigurationException {
        Configuration base = Samples.parse(Samples.document(7)
                .replace("\"limits\"", "\"keys\":[{\"name\":\"a\",\"v\":1},{\"name\":\"b\"}],\"mode\":1,\"limits\""));
        Configuration next = applyPatch(
                base,
                "{\"config_version\":8,\"upsert\":{\"keys\":[{\"name\":\"a\",\"v\":2.50},"
                        + "{\"name\":\"c\"}],\"tenants\":[{\"name\":\"t\"}]},"
                        + "\"remove\":{\"keys\":[\"b\"]},\"mode\":\"two\","
                        + "\"limits\":{\"max_header_bytes\":77}}");
        String text = Samples.text(next.json());
        String expected = Samples.document(8)
                .replace(
                        "\"limits\"",
                        "\"keys\":[{\"name\":\"a\",\"v\":2.50},{\"name\":\"c\"}],\"mode\":\"two\",\"limits\"")
                .replace(Samples.LIMITS, "{\"max_header_bytes\":77}")
                .replaceAll("}$", ",\"tenants\":[{\"name\":\"t\"}]}");
        assertEquals(expected, text);
        assertEquals(77, next.limits().maxHeaderBytes());
        assertEquals(RequestLimits.DEFAULTS.maxBodyBytes(), next.limits().maxBodyBytes());
    }

    @Test
    void rejectsInvalidPatches() throws InvalidConfigurationException {
        Configuration base = Samples.parse(Samples.document(7).replace("\"limits\"", "\"mode\":1,\"limits\""));
        assertEquals(
                Reason.UNKNOWN_SERVICE,
                rejectionReason(base, "{\"config_version\":8,\"remove\":{\"services\":[\"wuno\"]}}"));
        assertEquals(
                Reason.SHARED_PREFIX,
                rejectionReason(
                        base,
                        "{\"config_version\":8,\"upsert\":{\"routes\":[" + Samples.route("r-9", "/pufi/", "huvo")
                                + "]}}"));
        assertEquals(
                Reason.DUPLICATE_NAME,
                rejectionReason(
                        base,
                        "{\"config_version\":8,\"upsert\":{\"routes\":[" + Samples.route("r-9", "/a/", "huvo") + ","
                                + Samples.route("r-9", "/b/", "huvo") + "]}}"));
        assertEquals(
                Reason.MISSING_NAME, rejectionReason(base, "{\"config_version\":8,\"upsert\":{\"keys\":[{\"x\":1}]}}"));
        assertEquals(Reason.VERSION_NOT_ABOVE, rejectionReason(base, "{\"config_version\":7}"));
        assertEquals(Reason.MISSING_VERSION, rejectionReason(base, "{\"remove\":{\"routes\":[\"r-1\"]}}"));
        assertEquals(Reason.WRONG_TYPE, rejectionReason(base, "{\"config_version\":8,\"remove\":[\"r-1\"]}"));
        assertEquals(Reason.WRONG_TYPE, rejectionReason(base, "{\"config_version\":8,\"remove\":{\"routes\":[1]}}"));
        assertEquals(
                Reason.WRONG_TYPE, rejectionReason(base, "{\"config_version\":8,\"remove\":{\"routes\":\"r-1\"}}"));
        assertEquals(Reason.WRONG_TYPE, rejectionReason(base, "{\"config_version\":8,\"upsert\":{\"routes\":{}}}"));
        assertEquals(
                Reason.WRONG_TYPE,
                rejectionReason(base, "{\"config_version\":8,\"upsert\":{\"mode\":[{\"name\":\"x\"}]}}"));
        assertEquals(Reason.UNREADABLE, rejectionReason(base, "{\"config_version\":8,"));
    }
}
