package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.DEADLINE_MS;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.Idempotency;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Overdue attempts: when they are hedged, when they are cancelled for a retry, and when they continue. */
class HedgingPolicyTest {

    @Test
    void anOverdueSafeRequestIsHedgedAndTheSlowerAttemptIsCancelled() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().allowsHedging(true), 3);
        List<Action> first = fixture.arrive("read");
        Send hedge = firstSend(fixture.fireTimers(first));
        assertNotEquals(firstSend(first).server(), hedge.server());
        assertEquals(List.of(new Cancel(1, 0)), fixture.endAttempt(hedge, 1, Outcome.SERVED, 20, true));
    }

    @Test
    void anUnsafeRequestIsNeverHedged() {
        BalancerFixture fixture =
                BalancerFixture.withServers(settings().allowsHedging(true).actIdempotency(Idempotency.UNSAFE), 3);
        List<Action> overdue = fixture.fireTimers(fixture.arrive("act"));
        assertTrue(actionsOf(overdue, Send.class).isEmpty());
        assertTrue(actionsOf(overdue, Cancel.class).isEmpty());
    }

    @Test
    void aStartedStreamIsNeitherHedgedNorRetried() {
        BalancerFixture fixture =
                BalancerFixture.withServers(settings().allowsHedging(true).readsAreStreams(true), 3);
        List<Action> first = fixture.arrive("read");
        assertTrue(fixture.handle(new StreamStarted(1, 0, 10)).isEmpty());
        assertTrue(fixture.fireTimers(first).isEmpty());
        assertTrue(fixture.endAttempt(firstSend(first), 0, Outcome.RESET, 5_000, true)
                .isEmpty());
    }

    /**
     * The first overdue attempt may just be slow: a retry would take as long. The second one makes its server
     * suspect.
     */
    @Test
    void withoutHedgingAnOverdueAttemptAtASuspectServerIsCancelledBeforeItsRetry() {
        BalancerFixture fixture = BalancerFixture.withServers(1);
        List<Action> first = fixture.arrive("read");
        List<Action> second = fixture.arrive("read");
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s1", Availability.UP));
        List<Action> overdue = fixture.fireTimers(first);
        assertTrue(actionsOf(overdue, Cancel.class).isEmpty());
        assertNull(firstSend(overdue));
        overdue = fixture.fireTimers(second);
        assertNull(firstSend(overdue));
        assertEquals(List.of(new Cancel(2, 0)), actionsOf(overdue, Cancel.class));
        Send retry = firstSend(fixture.endAttempt(firstSend(second), 0, Outcome.CANCELLED, 100, false));
        assertEquals("s1", retry.server());
    }

    /**
     * Regression: with neither cancellation nor hedging allowed, 2,359 attempts of 3,760 requests timed out early.
     * The servers continued to execute them, and long requests took as long when retried.
     */
    @Test
    void withoutCancellationOnlyAttemptsAtASuspectServerTimeOutEarly() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().allowsCancellation(false), 1);
        List<Action> first = fixture.arrive("read");
        assertEquals(0, firstSend(first).timeoutMs());
        assertTrue(actionsOf(fixture.fireTimers(first), Send.class).isEmpty()); // overdue, but there is no other server
        Send second = firstSend(fixture.arrive("read"));
        assertTrue(second.timeoutMs() > 0 && second.timeoutMs() < DEADLINE_MS, "" + second.timeoutMs());
        fixture.nowMs += 10;
        fixture.endServed(second, 10);
        assertEquals(0, firstSend(fixture.arrive("read")).timeoutMs());
    }
}
