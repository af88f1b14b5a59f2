package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Outcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The working set of servers of one of many instances, and the connections to servers outside of it. */
class WorkingSetTest {

    private static BalancerFixture instance(int replicaIndex, int replicaCount, int servers) {
        return BalancerFixture.withServers(settings().replica(replicaIndex, replicaCount), servers);
    }

    @Test
    void anInstanceWithLittleTrafficUsesFewServers() {
        Set<String> used = instance(3, 500, 100).serveOnePerSecond(60);
        assertTrue(used.size() >= 2 && used.size() <= 6, used.toString());
    }

    @Test
    void withFewInstancesEachUsesAllServers() {
        assertEquals(10, instance(0, 4, 10).serveOnePerSecond(400).size());
    }

    @Test
    void theWorkingSetsOfAllInstancesCoverTheFleetEvenly() {
        Map<String, Integer> users = new HashMap<>();
        for (int replica = 0; replica < 400; replica++) {
            instance(replica, 400, 40).serveOnePerSecond(20).forEach(server -> users.merge(server, 1, Integer::sum));
        }
        assertEquals(40, users.size());
        double mean =
                users.values().stream().mapToInt(Integer::intValue).average().orElse(0);
        users.forEach((server, count) ->
                assertTrue(count > mean / 3 && count < mean * 2, server + ": " + count + " of mean " + mean));
    }

    @Test
    void theWorkingSetGrowsWithTraffic() {
        BalancerFixture fixture = instance(3, 500, 100);
        Set<String> used = new HashSet<>();
        for (int request = 0; request < 2_000; request++) { // a hundred requests per second
            used.add(fixture.serve("read", 10));
        }
        assertTrue(used.size() > 20, used.size() + " servers");
    }

    @Test
    void anEjectedServerIsReplacedInTheWorkingSet() {
        BalancerFixture fixture = instance(3, 500, 100);
        Set<String> before = fixture.serveOnePerSecond(40);
        String failing = before.iterator().next();
        Set<String> after = new HashSet<>();
        for (int index = 0; index < 80; index++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 10;
            boolean fails = send.server().equals(failing);
            List<Action> actions = fixture.endAttempt(send, 0, fails ? Outcome.ERROR : Outcome.SERVED, 10, !fails);
            if (index >= 40) {
                after.add(send.server());
            }
            Send retry = firstSend(actions);
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 10, true);
            }
            fixture.nowMs += 100;
        }
        after.removeAll(before);
        assertFalse(after.isEmpty(), "another server replaces it");
    }

    @Test
    void idleConnectionsOutsideTheWorkingSetAreClosed() {
        BalancerFixture fixture = instance(3, 500, 100);
        for (int request = 0; request < 1_000; request++) {
            fixture.serve("read", 10);
        }
        fixture.nowMs += 30_000; // little traffic from now on
        fixture.serveOnePerSecond(20);
        assertTrue(actionsOf(fixture.actions, CloseIdleConnections.class).size() > 10);
    }
}
