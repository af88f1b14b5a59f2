package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.routing.StagePlanner.Change;
import dewplank.routing.StagePlanner.Engine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class StagePlannerTest {
    private static final int SLOTS = 48;
    private static final List<String> ZONES = List.of("a", "b", "c");

    /** So many servers in three zones, of which the first ones prefill; each has so many requests. */
    private static List<Engine> engines(int count, int prefill, int load) {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("i-" + i, ZONES.get(i % ZONES.size()), i < prefill, load));
        }
        return engines;
    }

    private static Engine engine(String id, String zone, boolean prefill, int load) {
        return new Engine(id, zone, prefill, false, 0, load, SLOTS, 0, 1_000);
    }

    private static List<Engine> after(List<Engine> engines, List<Change> changes) {
        Map<String, Change> byId = changes.stream().collect(Collectors.toMap(Change::instanceId, c -> c));
        return engines.stream()
                .map(e -> byId.containsKey(e.instanceId())
                        ? e.changing(byId.get(e.instanceId()).toPrefill())
                        : e)
                .toList();
    }

    @Test
    void whileNothingRunsAllThatDecodeNeedlesslyChangeAtOnceAndZonesKeepEvenShares() {
        List<Engine> engines = engines(63, 26, 0);
        List<Change> changes = StagePlanner.changes(engines);
        assertEquals(21, changes.size()); // a quarter of 63, rounded up, goes on to decode
        List<Engine> then = after(engines, changes);
        Map<String, Long> decode = then.stream()
                .filter(e -> !e.prefill())
                .collect(Collectors.groupingBy(Engine::zone, Collectors.counting()));
        assertTrue(decode.values().stream().allMatch(n -> n >= 5 && n <= 6), "decode servers by zone " + decode);
        assertEquals(List.of(), StagePlanner.changes(then), "nothing is ordered twice");
    }

    @Test
    void whileRequestsRunNoMoreThanATenthChangeAtOnce() {
        List<Engine> engines = engines(63, 26, 1);
        List<Change> first = StagePlanner.changes(engines);
        assertEquals(6, first.size());
        assertEquals(List.of(), StagePlanner.changes(after(engines, first)), "those under way count");
        assertEquals(1, StagePlanner.changes(engines(8, 3, 1)).size(), "of few servers one");
    }

    @Test
    void crowdedDecodeServersGetAsManyMoreAsTheyNeed() {
        List<Engine> engines = new ArrayList<>(engines(40, 30, 1));
        engines.replaceAll(e -> e.prefill() ? e : engine(e.instanceId(), e.zone(), false, 28));
        List<Change> changes = StagePlanner.changes(engines);
        assertEquals(2, changes.size()); // 280 requests, half the places of 10 servers 240, of 12 servers 288
        assertTrue(changes.stream().noneMatch(Change::toPrefill));
        assertEquals(2, changes.stream().map(Change::instanceId).distinct().count());
    }

    @Test
    void aLoneServerIsLeftAsItIs() {
        assertEquals(List.of(), StagePlanner.changes(engines(1, 0, 0)));
        assertEquals(List.of(), StagePlanner.changes(List.of()));
    }
}
