package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.routing.StagePlanner.ModelServer;
import dewplank.routing.StagePlanner.StageChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class StagePlannerTest {
    private static final int SLOTS = 48;
    private static final List<String> ZONES = List.of("a", "b", "c");

    /**
     * Creates servers in three zones; the first {@code prefill} of them prefill, and each has {@code load} requests.
     */
    private static List<ModelServer> modelServers(int count, int prefill, int load) {
        List<ModelServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(modelServer("i-" + i, ZONES.get(i % ZONES.size()), i < prefill, load));
        }
        return servers;
    }

    private static ModelServer modelServer(String id, String zone, boolean prefill, int load) {
        return new ModelServer(id, zone, prefill, false, 0, load, SLOTS, 0, 1_000);
    }

    private static List<ModelServer> after(List<ModelServer> servers, List<StageChange> changes) {
        Map<String, StageChange> byId =
                changes.stream().collect(Collectors.toMap(StageChange::instanceId, change -> change));
        return servers.stream()
                .map(server -> byId.containsKey(server.instanceId())
                        ? server.changingTo(byId.get(server.instanceId()).toPrefill())
                        : server)
                .toList();
    }

    @Test
    void withoutRequestsAllExcessDecodeServersChangeAtOnceAndZonesStayBalanced() {
        List<ModelServer> servers = modelServers(63, 26, 0);
        List<StageChange> changes = StagePlanner.planChanges(servers);
        assertEquals(21, changes.size()); // a quarter of 63, rounded up, continues to decode
        List<ModelServer> planned = after(servers, changes);
        Map<String, Long> decode = planned.stream()
                .filter(server -> !server.isPrefill())
                .collect(Collectors.groupingBy(ModelServer::zone, Collectors.counting()));
        assertTrue(
                decode.values().stream().allMatch(count -> count >= 5 && count <= 6),
                "decode servers by zone " + decode);
        assertEquals(List.of(), StagePlanner.planChanges(planned), "no change is ordered twice");
    }

    @Test
    void whileRequestsRunAtMostATenthOfTheServersChangeAtOnce() {
        List<ModelServer> servers = modelServers(63, 26, 1);
        List<StageChange> first = StagePlanner.planChanges(servers);
        assertEquals(6, first.size());
        assertEquals(List.of(), StagePlanner.planChanges(after(servers, first)), "changes in progress count");
        assertEquals(1, StagePlanner.planChanges(modelServers(8, 3, 1)).size(), "one change with few servers");
    }

    @Test
    void overloadedDecodeServersGetAsManyMoreAsTheyNeed() {
        List<ModelServer> servers = new ArrayList<>(modelServers(40, 30, 1));
        servers.replaceAll(
                server -> server.isPrefill() ? server : modelServer(server.instanceId(), server.zone(), false, 28));
        List<StageChange> changes = StagePlanner.planChanges(servers);
        assertEquals(2, changes.size()); // 280 requests; half of the slots are 240 with 10 servers and 288 with 12
        assertTrue(changes.stream().noneMatch(StageChange::toPrefill));
        assertEquals(2, changes.stream().map(StageChange::instanceId).distinct().count());
    }

    @Test
    void aSingleServerDoesNotChange() {
        assertEquals(List.of(), StagePlanner.planChanges(modelServers(1, 0, 0)));
        assertEquals(List.of(), StagePlanner.planChanges(List.of()));
    }
}
