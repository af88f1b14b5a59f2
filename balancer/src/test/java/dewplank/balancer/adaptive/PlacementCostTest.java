package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.endpointIn;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import org.junit.jupiter.api.Test;

/** The choice between the local zone and a remote one, based on the cross-zone price and the load. */
class PlacementCostTest {

    /** One server in the local zone, one in another. */
    private static BalancerFixture withLocalAndRemoteServer(double crossZonePrice) {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(settings().prices(crossZonePrice, 0));
        fixture.updateEndpoints(UpdateKind.CACHED, endpoint("local", Availability.UP), endpointIn("z2", 1, "a"));
        return fixture;
    }

    @Test
    void requestsStayInTheLocalZoneUntilItIsOverloaded() {
        BalancerFixture fixture = withLocalAndRemoteServer(0.2);
        for (int request = 0; request < 100; request++) {
            assertEquals("local", fixture.serve("read", 20));
        }
        int remote = 0;
        for (int request = 0; request < 60; request++) { // the local server's responses no longer meet the target
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 10;
            boolean local = send != null && send.server().equals("local");
            remote += send != null && !local ? 1 : 0;
            if (send != null) {
                fixture.endServed(send, local ? 280 : 25);
            }
        }
        assertTrue(remote > 30, remote + " sent to the remote zone");
    }

    /** Regression: with a cross-zone price of almost zero, local latency rose to a quarter of the target. */
    @Test
    void aLowCrossZonePriceSpreadsLoadBeforeTheLocalZoneIsLate() {
        BalancerFixture fixture = withLocalAndRemoteServer(0.01);
        int remote = 0;
        for (int request = 0; request < 200; request++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 10;
            boolean local = send.server().equals("local");
            remote += local ? 0 : 1;
            fixture.endServed(send, local ? 75 : 30); // the local zone takes a quarter of the latency target
        }
        assertTrue(remote > 100, remote + " sent to the remote zone");
    }
}
