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
 * <p>A change that intentionally affects decisions records new digests and states so. The balancer and
 * the simulation use {@link StrictMath}, whose last bits are the same on every processor.
 */
class RecordedDecisionsTest {
    /**
     * The minimum number of each action over all simulations; with fewer, the digests would hardly cover that action.
     */
    private static final int MIN_OF_EACH_ACTION = 10;

    @ParameterizedTest(name = "workload {0}, seed {1}")
    @CsvSource({
        "DEFAULT, 1, 3d0675fff831e99b",
        "DEFAULT, 2, 606d368fe4c107df",
        "DEFAULT, 3, 09fd534c8782cec4",
        "POLLED, 1, 1bf2fe907bcbdd2c",
        "POLLED, 2, c3407ef0847bb07e",
        "POLLED, 3, 8610c9979b947b0e",
        "HEDGING, 1, bdceee91f88d2e4b",
        "HEDGING, 2, 0285fecb093483e9",
        "HEDGING, 3, 7e5061da23a09c41",
        "MINIMAL, 1, 5020482ef8fd1f8c",
        "MINIMAL, 2, 3a67a2b2e2b41c80",
        "MINIMAL, 3, c64d6001d9f767b5",
        "OVERLOADED, 1, 76fb4a2c59594d2d",
        "OVERLOADED, 2, f612efb27f7ef2fa",
        "OVERLOADED, 3, b27d1a6198a17a65",
        "TENANTS, 1, 3e6678dc6a4aa821",
        "TENANTS, 2, 4a1ea467b05fb613",
        "TENANTS, 3, 78abe6b19c1dadb9",
        "PEERS, 1, 9a0181336023126e",
        "PEERS, 2, cc9c9d6664b3579c",
        "PEERS, 3, fb8617ad83505505",
        "LARGE, 1, e71372d4dc272a43",
        "LARGE, 2, 1b728435b8255001",
        "LARGE, 3, 92dc2cc6fe8361fd",
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
