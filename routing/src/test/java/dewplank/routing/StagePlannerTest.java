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

    /** So many servers in three zones, of which the first ones prefill; each has so many requests. */
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
                        ? server.whileChanging(byId.get(server.instanceId()).toPrefill())
                        : server)
                .toList();
    }

    @Test
    void whileNothingRunsAllThatDecodeNeedlesslyChangeAtOnceAndZonesKeepEvenShares() {
        List<ModelServer> servers = modelServers(63, 26, 0);
        List<StageChange> changes = StagePlanner.planChanges(servers);
        assertEquals(21, changes.size()); // a quarter of 63, rounded up, goes on to decode
        List<ModelServer> then = after(servers, changes);
        Map<String, Long> decode = then.stream()
                .filter(server -> !server.isPrefill())
                .collect(Collectors.groupingBy(ModelServer::zone, Collectors.counting()));
        assertTrue(
                decode.values().stream().allMatch(count -> count >= 5 && count <= 6),
                "decode servers by zone " + decode);
        assertEquals(List.of(), StagePlanner.planChanges(then), "nothing is ordered twice");
    }

    @Test
    void whileRequestsRunNoMoreThanATenthChangeAtOnce() {
        List<ModelServer> servers = modelServers(63, 26, 1);
        List<StageChange> first = StagePlanner.planChanges(servers);
        assertEquals(6, first.size());
        assertEquals(List.of(), StagePlanner.planChanges(after(servers, first)), "those under way count");
        assertEquals(1, StagePlanner.planChanges(modelServers(8, 3, 1)).size(), "of few servers one");
    }

    @Test
    void crowdedDecodeServersGetAsManyMoreAsTheyNeed() {
        List<ModelServer> servers = new ArrayList<>(modelServers(40, 30, 1));
        servers.replaceAll(
                server -> server.isPrefill() ? server : modelServer(server.instanceId(), server.zone(), false, 28));
        List<StageChange> changes = StagePlanner.planChanges(servers);
        assertEquals(2, changes.size()); // 280 requests, half the places of 10 servers 240, of 12 servers 288
        assertTrue(changes.stream().noneMatch(StageChange::toPrefill));
        assertEquals(2, changes.stream().map(StageChange::instanceId).distinct().count());
    }

    @Test
    void aLoneServerIsLeftAsItIs() {
        assertEquals(List.of(), StagePlanner.planChanges(modelServers(1, 0, 0)));
        assertEquals(List.of(), StagePlanner.planChanges(List.of()));
    }
}
