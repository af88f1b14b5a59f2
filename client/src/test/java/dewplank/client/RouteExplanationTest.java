package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RouteExplanationTest {
    private static final String CONFIGURATION =
            """
        {"config_version":7,"routes":[
         {"name":"r-1","host_name":"a.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":4000,
          "target_latency_ms":500,"priority":1,"max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":150.5,
          "weighted_split":[{"service":"s","weight":2},{"service":"t","weight":1}]},
         {"name":"r-2","host_name":"a.example","path_prefix":"/","route_type":"safe","timeout_ms":900,"service":"t"}],
         "services":[{"name":"s"},{"name":"t","engine":{"slot_count":4,"kv_tokens":9,"models":[{"name":"m"}]}}]}""";
    private static final ControlResponse SERVERS = response(
            """
        {"version":"3.9","servers":[
         {"instance_id":"i-1","service":"s","address":"10.0.0.1:80","zone":"z","stage":"decode","draining":false,
          "slot_count":4},
         {"instance_id":"i-2","service":"s","address":"10.0.0.2:80","zone":"z","stage":null,"draining":true,
          "slot_count":4}]}""");

    private static ControlResponse response(String body) {
        return new ControlResponse("10.0.0.9:1", 200, body.getBytes(StandardCharsets.UTF_8));
    }

    private static Configuration configuration() {
        return ConfigurationChanges.parse(response(CONFIGURATION));
    }

    private static RouteExplanation explain(String host, String path) {
        return RouteExplanation.of(configuration(), SERVERS, host, path);
    }

    @Test
    void explainsRouteSplitLimitsAndEndpoints() {
        assertEquals(
                """
            route r-1 of configuration 7: host a.example, paths below /chat/
              streaming, resumable, priority 1, at most 2 servers a request, sticky
              needs no access key: the configuration has no tenants
              held up to 4000 ms, in time within 500 ms, events at most 150.5 ms apart
              clients: head up to 16384 bytes within 3000 ms, body up to 4194304 bytes, idle up to 15000 ms
            66.7 % to service s
              INSTANCE  ADDRESS      ZONE  STAGE   STATE
              i-1       10.0.0.1:80  z     decode  ready
              i-2       10.0.0.2:80  z     -       draining: gets nothing new
            33.3 % to service t: no server is listed
            """,
                explain("A.example:8080", "/chat/1?q=2").text());
    }

    @Test
    void explainsARouteAsJson() {
        Map<String, Object> json = Json.object(explain("a.example", "/other").json());
        assertEquals(7L, json.get("config_version"));
        assertTrue(json.toString().contains("name=r-2"), json.toString());
        json = Json.object(explain("a.example", "/chat/").json());
        assertTrue(json.toString().contains("instance_id=i-2"), json.toString());
    }

    @Test
    void showsWhetherARequestNeedsAnAccessKey() {
        Configuration withTenants = ConfigurationChanges.parse(response(CONFIGURATION
                .replace("\"services\"", "\"tenants\":[],\"services\"")
                .replace("\"route_type\":\"safe\"", "\"route_type\":\"safe\",\"public\":true")));
        RouteExplanation protectedRoute = RouteExplanation.of(withTenants, SERVERS, "a.example", "/chat/");
        assertTrue(protectedRoute.text().contains("\n  needs the access key of a tenant\n"), protectedRoute.text());
        assertTrue(protectedRoute.json().contains("\"public\":false,\"key_required\":true"), protectedRoute.json());
        RouteExplanation publicRoute = RouteExplanation.of(withTenants, SERVERS, "a.example", "/other");
        assertTrue(publicRoute.text().contains("\n  needs no access key: the route is public\n"), publicRoute.text());
        assertTrue(publicRoute.text().contains("\n  safe, public, priority"), publicRoute.text());
        assertTrue(publicRoute.json().contains("\"public\":true,\"key_required\":false"), publicRoute.json());
        assertTrue(explain("a.example", "/chat/").json().contains("\"public\":false,\"key_required\":false"));
    }

    @Test
    void reportsAMissingRoute() {
        InvalidInputException fault = assertThrows(InvalidInputException.class, () -> explain("b.example", "/chat/"));
        assertSame(ResultCode.NO_SUCH_ROUTE, fault.code());
    }

    @Test
    void formatsTheConfigurationInTables() {
        String text = ConfigurationText.of(configuration(), KeyDisplay.FINGERPRINTS);
        assertTrue(text.startsWith("configuration 7\n\nROUTE  HOST       PREFIX  TYPE"), text);
        assertTrue(text.contains("s:2 t:1"), text);
        assertTrue(text.contains("4 slots, 9 tokens, m"), text);
    }

    @Test
    void formatsEndpointsOfOneService() {
        assertEquals(
                "list 3.9\nINSTANCE  SERVICE  ADDRESS  ZONE  STAGE  SLOTS  STATE\n", FleetText.servers(SERVERS, "t"));
        assertTrue(FleetText.servers(SERVERS, null)
                .contains("i-2       s        10.0.0.2:80  z     -       4      draining"));
    }

    @Test
    void formatsTheMembers() {
        ControlResponse members = response(
                """
            {"answered_by":"core-1","data":[{"node":"edge-1","address":"10.0.0.1:9","zone":"z","incarnation":4}],
             "control":[]}""");
        assertEquals(
                """
            as known to core-1, itself not listed
            KIND  NODE    ADDRESS     ZONE
            data  edge-1  10.0.0.1:9  z
            """,
                FleetText.members(members));
    }

    @Test
    void formatsAddressesWithAndWithoutAResponse() {
        ControlResponse status = response("{\"node\":\"core-1\",\"quorate\":true,\"config_version\":7,\"acceptors\":"
                + "[{\"address\":\"10.0.0.9:2\",\"identity\":\"x\"}]}");
        List<String> addresses = List.of("10.0.0.9:1", "10.0.0.8:1");
        assertEquals(
                """
            ASKED       NODE             QUORUM  CONFIGURATION  ACCEPTORS
            10.0.0.9:1  core-1           yes     7              10.0.0.9:2
            10.0.0.8:1  no clear answer
            """,
                FleetText.status(addresses, Map.of("10.0.0.9:1", status)));
        ControlResponse behind = response(
                "{\"node\":\"core-2\",\"quorate\":true,\"current\":false,\"config_version\":5," + "\"acceptors\":[]}");
        ControlResponse partitioned = response(
                "{\"node\":\"core-3\",\"quorate\":false,\"current\":false,\"config_version\":5," + "\"acceptors\":[]}");
        String both = FleetText.status(addresses, Map.of("10.0.0.9:1", behind, "10.0.0.8:1", partitioned));
        assertTrue(both.contains("core-2  behind  5"), both);
        assertTrue(both.contains("core-3  no      5"), both);
        ControlResponse duties =
                response("{\"answered_by\":\"core-1\",\"list\":{\"held_here\":true,\"fencing_number\":3}}");
        assertTrue(FleetText.duties(addresses, Map.of("10.0.0.9:1", duties))
                .contains("core-1           list  yes         3"));
        assertEquals(
                "{\"10.0.0.9:1\":{},\"10.0.0.8:1\":null}",
                FleetText.json(addresses, Map.of("10.0.0.9:1", response("{}\n"))));
    }

    @Test
    void reportsAResponseWithAMissingField() {
        InvalidInputException fault =
                assertThrows(InvalidInputException.class, () -> FleetText.members(response("{\"data\":[]}")));
        assertEquals("802 ANSWER_UNREADABLE: the response from 10.0.0.9:1: control is missing", fault.getMessage());
    }
}
