package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Updates of the endpoint list: which servers receive requests after an update, the behaviour if the list is wrong,
 * and the subscription of a polled list.
 */
class EndpointListTest {

    @ParameterizedTest
    @EnumSource(names = {"DRAINING", "REMOVED"})
    void aDrainingOrRemovedServerReceivesNoRequests(Availability availability) {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s0", availability));
        for (int request = 0; request < 50; request++) {
            assertEquals("s1", fixture.serve("read", 10));
        }
    }

    @Test
    void aRemovedServerStaysInUseIfTheSettingsAllowRemovedServers() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().allowsRemovedServers(true), 1);
        fixture.updateEndpoints(UpdateKind.FULL);
        assertEquals("s0", fixture.serve("read", 10));
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s0", Availability.DRAINING));
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s0", Availability.REMOVED));
        assertNull(firstSend(fixture.arrive("read")));
    }

    /** Wrong lists: servers that do not exist, running servers that are missing, an outdated list. */
    @Test
    void outcomesOverrideAWrongList() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().allowsRemovedServers(true), 4);
        for (int request = 0; request < 40; request++) {
            fixture.serve("read", 10);
        }
        List<Endpoint> listed = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            listed.add(endpoint("unreachable" + index, Availability.UP));
        }
        listed.add(endpoint("s0", Availability.DRAINING));
        // s1 to s3 are missing, although they serve requests.
        fixture.updateEndpoints(UpdateKind.FULL, listed.toArray(Endpoint[]::new));
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s0", Availability.REMOVED));
        int served = 0;
        for (int request = 0; request < 300; request++) {
            Send send = firstSend(fixture.arrive("read"));
            for (int attempt = 0; send != null; attempt++) {
                assertNotEquals("s0", send.server(), "was listed as draining");
                boolean isUnreachable = send.server().startsWith("unreachable");
                fixture.nowMs += isUnreachable ? 100 : 10;
                served += isUnreachable || request < 100 ? 0 : 1;
                send = firstSend(fixture.endAttempt(
                        send, attempt, isUnreachable ? Outcome.CONNECT_FAILED : Outcome.SERVED, 10, !isUnreachable));
            }
        }
        assertTrue(served > 190, served + " of 200 served");
    }

    /** Over time, servers with new ids are added and removed: their state must not accumulate. */
    @Test
    void theStateOfARemovedServerIsDiscardedOnceNoAttemptIsInFlight() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().replica(0, 2), 1);
        Send open = firstSend(fixture.arrive("read"));
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s0", Availability.REMOVED));
        for (int index = 0; index < 100; index++) {
            fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("n" + index, Availability.UP));
            fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("n" + index, Availability.REMOVED));
        }
        assertEquals(1, fixture.balancer.serverCount());
        fixture.endServed(open, 10);
        fixture.updateEndpoints(UpdateKind.INCREMENTAL);
        assertEquals(0, fixture.balancer.serverCount());
    }

    @Test
    void anEmptyListRejectsImmediately() {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(settings());
        fixture.updateEndpoints(UpdateKind.CACHED);
        assertEquals(1, actionsOf(fixture.arrive("read"), Reject.class).size());
    }

    @Test
    void aRequestWaitsForTheSubscribedList() {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(settings().endpointListIsPushed(false));
        assertEquals(
                1,
                actionsOf(fixture.updateEndpoints(UpdateKind.CACHED), Subscribe.class)
                        .size());
        List<Action> waiting = fixture.arrive("read");
        assertTrue(actionsOf(waiting, Reject.class).isEmpty());
        fixture.updateEndpoints(UpdateKind.FULL, endpoint("a", Availability.UP));
        assertEquals("a", firstSend(fixture.fireTimers(waiting)).server());
    }

    @Test
    void aBrokenSubscriptionIsRenewedWithGrowingBackoff() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().endpointListIsPushed(false), 2);
        double longestMs = 0;
        for (int failure = 0; failure < 4; failure++) {
            List<Action> broken = fixture.updateEndpoints(UpdateKind.BROKEN);
            longestMs =
                    Math.max(longestMs, actionsOf(broken, SetTimer.class).get(0).delayMs());
            assertEquals(
                    1, actionsOf(fixture.fireTimers(broken), Subscribe.class).size());
        }
        assertTrue(longestMs > 1_000 && longestMs <= 7_500, "backoff of " + longestMs);
        assertNotNull(firstSend(fixture.arrive("read")), "the last list stays in use");
    }
}
