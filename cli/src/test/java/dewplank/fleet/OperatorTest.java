package dewplank.fleet;

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

/** What operators send that must not be taken: invalid configurations, and all but one of several on one base. */
class OperatorTest {
    private static final int RACES = 12;
    private static final RouteSpec ADDED = RouteSpec.to("plain", "never", RouteSpec.Kind.SAFE);
    private static final long NEXT = 5;

    @Test
    void everyKindOfInvalidConfigurationIsRejected() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            int first = 0;
            for (Map.Entry<String, String> invalid : invalid().entrySet()) {
                int status = Futures.await(harness.fleet
                        .operator()
                        .putInvalid(invalid.getValue(), FleetHarness.INITIAL.version(), first++ % 3));
                assertEquals(400, status, invalid.getKey());
            }
            for (Map.Entry<String, String> invalid : invalidPatches().entrySet()) {
                int status = Futures.await(harness.fleet
                        .operator()
                        .patchInvalid(invalid.getValue(), FleetHarness.INITIAL.version(), first++ % 3));
                assertEquals(400, status, invalid.getKey());
            }
            harness.assertReadBack(FleetHarness.INITIAL.version(), 2);
            assertEquals(
                    404,
                    harness.awaitOutcome(0, ClientRequest.plain(ADDED, "x")).status());
            harness.putConfiguration(FleetHarness.INITIAL.withVersion(NEXT), FleetHarness.INITIAL.version(), 0);
        });
    }

    private interface Spoiling {
        void spoil(JsonObject document, JsonObject route);
    }

    /** A configuration that differs from the one in force by a new route, and is spoiled. */
    private static String spoiled(Spoiling spoiling) {
        JsonObject document = FleetHarness.INITIAL.with(NEXT, ADDED).json();
        JsonArray routes = document.getAsJsonArray("routes");
        spoiling.spoil(document, routes.get(routes.size() - 1).getAsJsonObject());
        return document.toString();
    }

    private static Map<String, String> invalid() {
        Map<String, String> invalid = new LinkedHashMap<>();
        String whole = FleetHarness.INITIAL.with(NEXT, ADDED).json().toString();
        invalid.put("cut short", whole.substring(0, whole.length() - 1));
        invalid.put("no JSON", "never");
        invalid.put("something after it", whole + "}");
        invalid.put(
                "unknown service",
                spoiled((d, r) ->
                        r.add("weighted_split", JsonParser.parseString("[{\"service\":\"nobody\",\"weight\":1}]"))));
        invalid.put(
                "host and prefix of another",
                spoiled((d, r) -> r.addProperty("path_prefix", FleetHarness.READ.prefix())));
        invalid.put(
                "weights of nothing",
                spoiled((d, r) -> r.add(
                        "weighted_split",
                        JsonParser.parseString(
                                "[{\"service\":\"plain\",\"weight\":0},{\"service\":\"other\",\"weight\":0}]"))));
        invalid.put("no time", spoiled((d, r) -> r.addProperty("timeout_ms", 0)));
        invalid.put(
                "version in place", spoiled((d, r) -> d.addProperty("config_version", FleetHarness.INITIAL.version())));
        invalid.put(
                "version below",
                spoiled((d, r) -> d.addProperty("config_version", FleetHarness.INITIAL.version() - 1)));
        invalid.put("no version", spoiled((d, r) -> d.remove("config_version")));
        invalid.put("no routes", spoiled((d, r) -> d.remove("routes")));
        invalid.put("name of another", spoiled((d, r) -> r.addProperty("name", FleetHarness.READ.name())));
        return invalid;
    }

    private static Map<String, String> invalidPatches() {
        Map<String, String> invalid = new LinkedHashMap<>();
        invalid.put("a service that is used goes", "{\"config_version\":5,\"remove\":{\"services\":[\"plain\"]}}");
        invalid.put("version in place", "{\"config_version\":3,\"remove\":{\"routes\":[\"read\"]}}");
        invalid.put("cut short", "{\"config_version\":5,\"remove\":{\"routes\":[\"read\"]}");
        String route = FleetHarness.INITIAL
                .with(NEXT, ADDED)
                .json()
                .getAsJsonArray("routes")
                .get(4)
                .toString();
        invalid.put(
                "unknown service",
                "{\"config_version\":5,\"upsert\":{\"routes\":["
                        + route.replace("\"service\":\"plain\"", "\"service\":\"nobody\"") + "]}}");
        return invalid;
    }

    @Test
    void ofTwoChangesOnOneBaseOneIsCommitted() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration current = FleetHarness.INITIAL;
            for (int race = 0; race < RACES; race++) {
                long next = current.version() + 2;
                FleetConfiguration one = current.with(next, RouteSpec.to("plain", "one", RouteSpec.Kind.SAFE));
                FleetConfiguration two =
                        current.with(next + race % 2, RouteSpec.to("plain", "two" + race, RouteSpec.Kind.SAFE));
                CompletableFuture<Integer> first = harness.fleet.operator().put(one, current.version(), race % 3);
                CompletableFuture<Integer> second = harness.fleet.operator().patch(two, current, (race + 1) % 3);
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
