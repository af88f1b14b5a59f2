package dewplank.fleet;

import static dewplank.fleet.FleetHarness.INITIAL;
import static dewplank.fleet.FleetHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Changes that must be rejected: invalid changes, and one of two concurrent changes with the same base version. */
class OperatorTest {
    private static final int RACES = 12;
    private static final RouteSpec ADDED = RouteSpec.to("plain", "never", RouteSpec.Kind.SAFE);
    private static final long NEXT_VERSION = 5;

    @Test
    void everyKindOfInvalidConfigurationIsRejected() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            int first = 0;
            for (Map.Entry<String, String> invalid : invalidConfigurations().entrySet()) {
                int status = Futures.await(
                        harness.operator().putInvalid(invalid.getValue(), INITIAL.version(), first++ % 3));
                assertEquals(400, status, invalid.getKey());
            }
            for (Map.Entry<String, String> invalid : invalidPatches().entrySet()) {
                int status = Futures.await(
                        harness.operator().patchInvalid(invalid.getValue(), INITIAL.version(), first++ % 3));
                assertEquals(400, status, invalid.getKey());
            }
            harness.assertReadBack(INITIAL.version(), 2);
            assertEquals(
                    404,
                    harness.awaitOutcome(0, ClientRequest.plain(ADDED, "x")).status());
            harness.putConfiguration(INITIAL.withVersion(NEXT_VERSION), INITIAL.version(), 0);
        });
    }

    private interface Edit {
        void apply(JsonObject document, JsonObject route);
    }

    /** Returns the current configuration with an additional route and further edits. */
    private static String editedConfiguration(Edit edit) {
        JsonObject document = INITIAL.with(NEXT_VERSION, ADDED).json();
        JsonArray routes = document.getAsJsonArray("routes");
        edit.apply(document, routes.get(routes.size() - 1).getAsJsonObject());
        return document.toString();
    }

    private static Map<String, String> invalidConfigurations() {
        Map<String, String> invalid = new LinkedHashMap<>();
        String complete = INITIAL.with(NEXT_VERSION, ADDED).json().toString();
        invalid.put("truncated", complete.substring(0, complete.length() - 1));
        invalid.put("not JSON", "never");
        invalid.put("trailing text", complete + "}");
        invalid.put(
                "unknown service",
                editedConfiguration((document, route) -> route.add(
                        "weighted_split", JsonParser.parseString("[{\"service\":\"unknown\",\"weight\":1}]"))));
        invalid.put(
                "duplicate host and prefix",
                editedConfiguration((document, route) -> route.addProperty("path_prefix", READ.prefix())));
        invalid.put(
                "no positive weight",
                editedConfiguration((document, route) -> route.add(
                        "weighted_split",
                        JsonParser.parseString(
                                "[{\"service\":\"plain\",\"weight\":0},{\"service\":\"other\",\"weight\":0}]"))));
        invalid.put("no timeout", editedConfiguration((document, route) -> route.addProperty("timeout_ms", 0)));
        invalid.put(
                "current version",
                editedConfiguration((document, route) -> document.addProperty("config_version", INITIAL.version())));
        invalid.put(
                "lower version",
                editedConfiguration(
                        (document, route) -> document.addProperty("config_version", INITIAL.version() - 1)));
        invalid.put("no version", editedConfiguration((document, route) -> document.remove("config_version")));
        invalid.put("no routes", editedConfiguration((document, route) -> document.remove("routes")));
        invalid.put("duplicate name", editedConfiguration((document, route) -> route.addProperty("name", READ.name())));
        return invalid;
    }

    private static Map<String, String> invalidPatches() {
        Map<String, String> invalid = new LinkedHashMap<>();
        invalid.put("removed service in use", "{\"config_version\":5,\"remove\":{\"services\":[\"plain\"]}}");
        invalid.put("current version", "{\"config_version\":3,\"remove\":{\"routes\":[\"read\"]}}");
        invalid.put("truncated", "{\"config_version\":5,\"remove\":{\"routes\":[\"read\"]}");
        String route = INITIAL.with(NEXT_VERSION, ADDED)
                .json()
                .getAsJsonArray("routes")
                .get(4)
                .toString();
        invalid.put(
                "unknown service",
                "{\"config_version\":5,\"upsert\":{\"routes\":["
                        + route.replace("\"service\":\"plain\"", "\"service\":\"unknown\"") + "]}}");
        return invalid;
    }

    @Test
    void onlyOneOfTwoConcurrentChangesIsCommitted() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration current = INITIAL;
            for (int race = 0; race < RACES; race++) {
                long next = current.version() + 2;
                FleetConfiguration one = current.with(next, RouteSpec.to("plain", "one", RouteSpec.Kind.SAFE));
                FleetConfiguration two =
                        current.with(next + race % 2, RouteSpec.to("plain", "two" + race, RouteSpec.Kind.SAFE));
                CompletableFuture<Integer> first = harness.operator().put(one, current.version(), race % 3);
                CompletableFuture<Integer> second = harness.operator().patch(two, current, (race + 1) % 3);
                int firstStatus = Futures.await(first);
                List<Integer> statuses =
                        Stream.of(firstStatus, Futures.await(second)).sorted().toList();
                assertEquals(List.of(200, 412), statuses, "race " + race);
                current = firstStatus == 200 ? one : two;
                harness.assertReadBack(current.version(), (race + 2) % 3);
            }
        });
    }
}
