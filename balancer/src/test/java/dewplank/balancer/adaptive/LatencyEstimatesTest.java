package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.endpointIn;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.DEADLINE_MS;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.Idempotency;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The predicted latency of a server: the effect of slow connects, network latency, errors and hung requests. */
class LatencyEstimatesTest {

    /** Connecting becomes slower, but servers respond as before on open connections: no server is ejected. */
    @Test
    void aSlowConnectDoesNotRaiseItsServersPredictedLatency() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.serveOnePerSecond(100);
        fixture.nowMs += 60_000; // all connections are closed as idle
        Set<String> contacted = new HashSet<>();
        for (int request = 0; request < 40; request++) {
            Send send = firstSend(fixture.arrive("read"));
            double elapsedMs = contacted.add(send.server()) ? 200 : 10;
            fixture.nowMs += elapsedMs;
            fixture.endServed(send, elapsedMs);
        }
        assertTrue(fixture.serveOnePerSecond(60).size() >= 3, "no server is ejected");
        assertTrue(actionsOf(fixture.actions, Reject.class).isEmpty());
    }

    /**
     * The network latency to the remote zone takes most of the latency target. Once that has been measured, no
     * request is rejected.
     */
    @Test
    void networkLatencyIsNotMistakenForQueueing() {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(settings());
        fixture.updateEndpoints(UpdateKind.CACHED, endpoint("near", Availability.UP));
        fixture.serveOnePerSecond(100);
        fixture.updateEndpoints(
                UpdateKind.INCREMENTAL, endpoint("near", Availability.DRAINING), endpointIn("z2", 1, "far"));
        fixture.serveOnePerSecond(100);
        int rejected = 0;
        for (int request = 0; request < 600; request++) {
            List<Action> actions = fixture.arrive("read");
            Send send = firstSend(actions);
            fixture.nowMs += 240;
            if (send != null) {
                fixture.endServed(send, 240);
            }
            rejected += request < 400 ? 0 : actionsOf(actions, Reject.class).size();
        }
        assertEquals(0, rejected);
    }

    /** Regression: servers whose requests timed out received as many requests as the others. */
    @Test
    void aServerWhoseRequestsTimeOutIsNotEstimatedAsFast() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.serveOnePerSecond(40);
        int sentToSlow = 0;
        for (int request = 0; request < 40; request++) {
            Send send = firstSend(fixture.arrive("read"));
            boolean timesOut = List.of("s0", "s1").contains(send.server());
            double elapsedMs = timesOut ? DEADLINE_MS : 10;
            fixture.nowMs += elapsedMs;
            fixture.endAttempt(send, 0, timesOut ? Outcome.TIMED_OUT : Outcome.SERVED, elapsedMs, true);
            sentToSlow += timesOut ? 1 : 0;
            fixture.nowMs += 1_100; // the suspicion expires
        }
        assertTrue(sentToSlow <= 8, sentToSlow + " of 40 sent to servers whose requests time out");
    }

    /** Regression: the predicted latency of a costly request scaled fixed delays with its cost. */
    @Test
    void aCostlyRequestIsNotPredictedLateByFixedDelays() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        for (int request = 0; request < 400; request++) {
            double cost = 5 + request % 10;
            Send send = firstSend(fixture.arriveWithCost(cost));
            fixture.nowMs += 5;
            fixture.endServed(send, 40 + cost);
        }
        List<Action> costly = fixture.arriveWithCost(80.0);
        assertEquals(1, actionsOf(costly, Send.class).size());
    }

    /**
     * Regression: a server's predicted latency rose with the age of its error, and it received no request that could
     * correct this.
     */
    @Test
    void anErrorDoesNotRaiseItsServersPredictedLatencyOverTime() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 1);
        fixture.runReads(20, 5);
        Send send = firstSend(fixture.arrive("act"));
        fixture.endAttempt(send, 0, Outcome.RESET, 1, false);
        fixture.nowMs += 600;
        assertTrue(firstSend(fixture.arrive("read")) != null);
    }

    /** Regression: one hung request raised its server's predicted latency to the time for which it had hung. */
    @Test
    void aSingleHungRequestDoesNotRaiseItsServersPredictedLatency() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 1);
        fixture.runReads(100, 5);
        List<Action> hanging = fixture.arrive("act");
        fixture.fireTimers(hanging);
        for (int request = 0; request < 40; request++) {
            fixture.serve("read", 10);
        }
        assertTrue(actionsOf(fixture.actions, Reject.class).isEmpty());
    }
}
