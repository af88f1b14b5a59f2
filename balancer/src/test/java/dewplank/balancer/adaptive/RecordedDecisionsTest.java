package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The balancer's actions over long simulations match a recorded digest bit for bit, which shows that a refactoring
 * changes no decision.
 *
 * <p>A change that intentionally affects decisions records new digests and states so. The last bits of {@code
 * Math.exp} are those of x86-64.
 */
class RecordedDecisionsTest {
    /**
     * The minimum number of each action over all simulations; with fewer, the digests would hardly cover that action.
     */
    private static final int MIN_OF_EACH_ACTION = 10;

    @ParameterizedTest(name = "workload {0}, seed {1}")
    @CsvSource({
        "DEFAULT, 1, bc7bd198c52a47fd",
        "DEFAULT, 2, 606d368fe4c107df",
        "DEFAULT, 3, 8a2b1c1cd918025e",
        "POLLED, 1, 1bf2fe907bcbdd2c",
        "POLLED, 2, c3407ef0847bb07e",
        "POLLED, 3, 8610c9979b947b0e",
        "HEDGING, 1, aca7518d3ee82359",
        "HEDGING, 2, d51eb3db19c3d1c5",
        "HEDGING, 3, 1a515e52c961fef8",
        "MINIMAL, 1, 488fcc820785cf19",
        "MINIMAL, 2, 3a67a2b2e2b41c80",
        "MINIMAL, 3, c64d6001d9f767b5",
        "OVERLOADED, 1, 76fb4a2c59594d2d",
        "OVERLOADED, 2, f612efb27f7ef2fa",
        "OVERLOADED, 3, b27d1a6198a17a65",
        "TENANTS, 1, 3e6678dc6a4aa821",
        "TENANTS, 2, 4a1ea467b05fb613",
        "TENANTS, 3, 2afe4e17147b7b03",
        "PEERS, 1, 9a0181336023126e",
        "PEERS, 2, 22efd325c5c9fe3d",
        "PEERS, 3, cc9e50f9957939ee",
        "LARGE, 1, e71372d4dc272a43",
        "LARGE, 2, 1b728435b8255001",
        "LARGE, 3, 750bbbb065bb271d",
    })
    void actionsMatchTheRecordedDigest(RecordedWorkload workload, long seed, String digest) {
        assertEquals(digest, new WorkloadSimulation(workload, seed).digest());
    }

    @Test
    void theSimulationsEmitEveryAction() {
        TreeMap<String, Integer> counts = new TreeMap<>();
        for (RecordedWorkload workload : RecordedWorkload.values()) {
            WorkloadSimulation simulation = new WorkloadSimulation(workload, 1);
            simulation.digest();
            simulation.actionCounts().forEach((action, count) -> counts.merge(action, count, Integer::sum));
        }
        for (Class<?> action : Action.class.getPermittedSubclasses()) {
            assertTrue(counts.getOrDefault(action.getSimpleName(), 0) >= MIN_OF_EACH_ACTION, counts.toString());
        }
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            BalancerFixture fixture = BalancerFixture.withServers(6);
            for (int request = 0; request < 500; request++) {
                Send send = firstSend(fixture.arrive(request % 3 == 0 ? "act" : "read"));
                fixture.nowMs += 3;
                if (send != null) {
                    fixture.endAttempt(
                            send,
                            0,
                            request % 7 == 0 ? Outcome.ERROR : Outcome.SERVED,
                            3 + request % 5,
                            request % 7 != 0);
                }
            }
            runs.add(fixture.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertFalse(runs.get(0).isEmpty());
    }
}
