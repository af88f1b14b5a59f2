package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The choice among eligible servers, by requests in flight, and by key if servers cache keys. */
class ServerPickerTest {

    @Test
    void theServerWithFewerRequestsInFlightIsPicked() {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        Send first = firstSend(fixture.arrive("read"));
        Send second = firstSend(fixture.arrive("read"));
        assertNotEquals(first.server(), second.server());
        assertTrue(actionsOf(fixture.actions, Reject.class).isEmpty());
    }

    /** Regression: each instance used a different server for the same key, although servers cache only few keys. */
    @Test
    void instancesAgreeOnTheServerOfAKeyWithoutMessages() {
        SettingsBuilder settings = settings().serversCacheKeys(true);
        BalancerFixture first = BalancerFixture.withServers(settings, 4);
        BalancerFixture second = BalancerFixture.withServers(settings.replica(1, 4), 4);
        int agreed = 0;
        Map<String, Integer> keysByServer = new HashMap<>();
        for (int index = 0; index < 200; index++) {
            String server = serveKey(first, "k" + index);
            keysByServer.merge(server, 1, Integer::sum);
            agreed += server.equals(serveKey(second, "k" + index)) ? 1 : 0;
        }
        assertTrue(agreed > 150, agreed + " of 200 keys");
        assertTrue(
                keysByServer.size() == 4 && keysByServer.values().stream().allMatch(count -> count > 25),
                "keys by server: " + keysByServer);
    }

    private static String serveKey(BalancerFixture fixture, String key) {
        Send send = firstSend(fixture.arriveWithKey(key));
        fixture.nowMs += 50;
        fixture.endServed(send, 50);
        return send.server();
    }
}
