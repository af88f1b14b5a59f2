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

/** The limit on the work that a server receives while it warms up, from one instance and from all together. */
class SlowStartTest {

    @Test
    void aServerThatIsWarmingUpReceivesAtMostItsBudget() {
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
        // 3 x 0.4 of a quarter core, divided by four instances, is 75 ms of work in a second; each request costs 20 ms.
        assertTrue(sends >= 1 && sends <= 4, sends + " sends");
        fixture.nowMs += 10_000;
        assertNotNull(firstSend(fixture.arrive("read")));
    }

    /** Regression: new servers stayed idle for seconds at all instances while the other servers were overloaded. */
    @Test
    void newServersReceiveTheirShareOfABusyFleetsRequests() {
        int sendsToNew = 0;
        int sends = 0;
        for (int seed = 1; seed <= 20; seed++) { // one simulation is not enough, as service times are heavy-tailed
            BalancerFixture fixture = BalancerFixture.withServers(4);
            RandomGenerator random = new SplittableRandom(seed);
            // One request at a time; the load of the old servers comes from other instances.
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
        // Slow start allows the new servers 0.55 to 0.8 of their capacity in these 4 s.
        // They received 0.155 of the sends in the regression, and would receive 0.25 at full weight.
        assertTrue(sendsToNew >= 0.175 * sends, sendsToNew + " of " + sends + " sends");
    }

    /** Hundreds of instances, each with a budget of less than one request, do not exceed the total budget. */
    @Test
    void allInstancesTogetherStayWithinTheSlowStartBudget() {
        int replicaCount = 400;
        double workMs = BalancerFixture.DEFAULT_COST_MS;
        int[] sends = new int[60]; // by second
        for (int replica = 0; replica < replicaCount; replica++) {
            BalancerFixture fixture =
                    BalancerFixture.withoutEndpoints(settings().replica(0, replicaCount), replica);
            fixture.updateEndpoints(UpdateKind.CACHED, endpointStartedAt(fixture.nowMs, "starting"));
            double startMs = fixture.nowMs;
            fixture.nowMs += replica % 100 * 10; // each instance sends one request per second
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
        assertTrue(total > 20, "the server receives requests: " + total + " sends");
    }
}
