package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.settings.InvalidInputException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the status of data planes as combined from the reports of several control planes. */
class FleetTextTest {
    private static final String FIRST_ADDRESS = "10.0.0.1:1";
    private static final String SECOND_ADDRESS = "10.0.0.2:1";
    private static final String EARLIER_VERSION_ADDRESS = "10.0.0.3:1";

    private final Map<String, ControlResponse> statuses = new LinkedHashMap<>();
    private final Map<String, ControlResponse> dataPlanes = new LinkedHashMap<>();

    private static ControlResponse response(int status, String body) {
        return new ControlResponse(FIRST_ADDRESS, status, body.getBytes(StandardCharsets.UTF_8));
    }

    private static String report(String node, long version, long sinceMs, long heartbeatAgeMs, boolean session) {
        return report(node, 1, version, sinceMs, heartbeatAgeMs, session);
    }

    private static String report(
            String node, long incarnation, long version, long sinceMs, long heartbeatAgeMs, boolean session) {
        return """
            {"node":"%s","address":"10.1.0.1:2","zone":"z","incarnation":%d,\
            "config_version":%d,"since_ms":%d,"heard_ms_ago":%d,\
            "session":%s}"""
                .formatted(node, incarnation, version, sinceMs, heartbeatAgeMs, session);
    }

    private void addReports(String address, long newest, String... reports) {
        String body = "{\"answered_by\":\"core\",\"config_version\":" + newest + ",\"data_planes\":["
                + String.join(",", reports) + "]}\n";
        dataPlanes.put(address, response(200, body));
    }

    private String tableRow(int row) {
        String[] lines = FleetText.dataPlanes(dataPlanes).split("\n");
        return lines[row].replaceAll(" {2,}", "|");
    }

    @Test
    void showsCurrentLaggingAndDisconnectedDataPlanes() {
        addReports(FIRST_ADDRESS, 7, report("edge-1", 7, 61_000, 240, true), report("edge-2", 6, 3_000, 100, true));
        addReports(SECOND_ADDRESS, 6, report("edge-3", 7, 90_000, 80_500, false));
        assertEquals("DATA PLANE|ADDRESS|ZONE|CONFIGURATION|SINCE S|HEARD S|STATE", tableRow(0));
        assertEquals("edge-1|10.1.0.1:2|z|7|61.0|0.2|current", tableRow(1));
        assertEquals("edge-2|10.1.0.1:2|z|6|3.0|0.1|behind", tableRow(2));
        assertEquals("edge-3|10.1.0.1:2|z|7|90.0|80.5|not heard", tableRow(3));
    }

    @Test
    void theReportWithTheLatestHeartbeatTakesPrecedence() {
        addReports(
                FIRST_ADDRESS, 7, report("edge-1", 6, 50_000, 9_000, false), report("edge-2", 7, 70_000, 4_000, false));
        addReports(SECOND_ADDRESS, 7, report("edge-1", 7, 2_000, 100, true), report("edge-2", 7, 3_000, 200, true));
        assertEquals("edge-1|10.1.0.1:2|z|7|2.0|0.1|current", tableRow(1));
        assertEquals("edge-2|10.1.0.1:2|z|7|70.0|0.2|current", tableRow(2));
    }

    /** The session of the node's previous process, which used the version for longer and lost power, is still open. */
    @Test
    void aRestartedDataPlaneUsesTheVersionOnlySinceItsRestart() {
        addReports(FIRST_ADDRESS, 7, report("edge-1", 1, 7, 70_000, 900, true));
        addReports(SECOND_ADDRESS, 7, report("edge-1", 2, 7, 400, 100, true));
        assertEquals("edge-1|10.1.0.1:2|z|7|0.4|0.1|current", tableRow(1));
    }

    @Test
    void anUnreadableResponseIsReportedWithItsAddress() {
        dataPlanes.put(FIRST_ADDRESS, response(200, "{\"config_version\":7,\"data_planes\":[{\"node\":1}]}"));
        InvalidInputException failure =
                assertThrows(InvalidInputException.class, () -> FleetText.dataPlanes(dataPlanes));
        assertTrue(
                failure.getMessage().startsWith("802 ANSWER_UNREADABLE: the response from " + FIRST_ADDRESS),
                failure.getMessage());
    }

    @Test
    void aControlPlaneOfAnEarlierVersionReportsNoDataPlanes() {
        dataPlanes.put(EARLIER_VERSION_ADDRESS, response(404, "{\"code\":201,\"result\":\"NO_SUCH_PATH\"}"));
        assertEquals(1, FleetText.dataPlanes(dataPlanes).lines().count());
        statuses.put(EARLIER_VERSION_ADDRESS, response(200, "{\"node\":\"core\"}\n"));
        assertEquals(
                "{\"10.0.0.3:1\":{\"node\":\"core\"}}",
                FleetText.statusJson(List.of(EARLIER_VERSION_ADDRESS), statuses, dataPlanes));
    }

    @Test
    void theJsonStatusContainsTheReportsOfEachControlPlane() {
        statuses.put(FIRST_ADDRESS, response(200, "{\"node\":\"core\"}\n"));
        addReports(FIRST_ADDRESS, 7, report("edge-1", 7, 61_000, 240, true));
        assertEquals(
                "{\"10.0.0.1:1\":{\"node\":\"core\",\"data_planes\":[" + report("edge-1", 7, 61_000, 240, true)
                        + "]},\"10.0.0.2:1\":null}",
                FleetText.statusJson(List.of(FIRST_ADDRESS, SECOND_ADDRESS), statuses, dataPlanes));
    }
}
