package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.endpointStartedAt;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Event.UpdateKind;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** How much work a server gets while it warms up, from one instance and from all of them together. */
class SlowStartTest {

    @Test
    void aServerWarmingUpGetsNoMoreThanItsBudget() {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(settings());
        fixture.updateEndpoints(UpdateKind.CACHED, endpointStartedAt(fixture.nowMs, "starting"));
        int sends = 0;
        for (int request = 0; request < 200; request++) {
            Send send = firstSend(fixture.arrive("read"));
            if (send != null) {
                sends++;
                fixture.endServed(send, 1);
            }
            fixture.nowMs += 5; // 200 requests in one second
        }
        // 3 x 0.4 of a quarter core over four instances for a second is 75 ms of work; each costs 20 ms.
        assertTrue(sends >= 1 && sends <= 4, sends + " sends");
        fixture.nowMs += 10_000;
        assertNotNull(firstSend(fixture.arrive("read")));
    }

    /** Regression: new servers stayed idle for seconds beside overloaded ones, at all instances alike. */
    @Test
    void newServersTakeTheirShareOfABusyFleetsWork() {
        int sendsToNew = 0;
        int sends = 0;
        for (int seed = 1; seed <= 20; seed++) { // times are heavy-tailed: one run shows little
            BalancerFixture fixture = BalancerFixture.withServers(4);
            RandomGenerator random = new SplittableRandom(seed);
            // One request at a time: the old servers are loaded by other instances.
            for (int request = 0; request < 800; request++) {
                if (request == 400) {
                    fixture.updateEndpoints(
                            UpdateKind.INCREMENTAL,
                            endpointStartedAt(fixture.nowMs, "n0"),
                            endpointStartedAt(fixture.nowMs, "n1"));
                }
                Send send = firstSend(fixture.arrive("read"));
                fixture.nowMs += 10;
                if (send != null) {
                    boolean isNew = send.server().startsWith("n");
                    sendsToNew += isNew ? 1 : 0;
                    sends += request >= 400 ? 1 : 0;
                    fixture.endServed(send, random.nextExponential() * (isNew ? 90 : 60));
                }
            }
        }
        // Slow start gives them 0.55 to 0.8 of their capacity in these 4 s.
        // The regression gave them 0.155 of the sends; full weight would give them 0.25.
        assertTrue(sendsToNew >= 0.175 * sends, sendsToNew + " of " + sends + " sends");
    }

    /** Hundreds of instances, each with a budget of less than one request: together they keep to the total. */
    @Test
    void allInstancesTogetherKeepToTheSlowStartBudget() {
        int replicaCount = 400;
        double workMs = BalancerFixture.DEFAULT_COST_MS;
        int[] sends = new int[60]; // in each second
        for (int replica = 0; replica < replicaCount; replica++) {
            BalancerFixture fixture =
                    BalancerFixture.withoutEndpoints(settings().replica(0, replicaCount), replica);
            fixture.updateEndpoints(UpdateKind.CACHED, endpointStartedAt(fixture.nowMs, "starting"));
            double startMs = fixture.nowMs;
            fixture.nowMs += replica % 100 * 10; // one request a second each
            for (int request = 0; request < 8; request++) {
                int second = (int) ((fixture.nowMs - startMs) / 1_000);
                Send send = firstSend(fixture.arrive("read"));
                if (send != null) {
                    sends[second]++;
                    fixture.endServed(send, 1);
                }
                fixture.nowMs += 1_000;
            }
        }
        int total = 0;
        double budgetMs = 0;
        for (int second = 0; second < 8; second++) {
            double capacity = 0.3 + 0.7 * (second + 0.5) / 10; // of the quarter core that the smallest server has
            budgetMs += 3 * capacity * 250; // milliseconds of work in this second
            total += sends[second];
            assertTrue(total * workMs <= budgetMs, "by second " + second + ": " + total + " sends");
            assertTrue(
                    sends[second] * workMs <= 2 * 3 * capacity * 250,
                    "second " + second + ": " + sends[second] + " sends");
        }
        assertTrue(total > 20, "the server warms up: " + total + " sends");
    }
}
