package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.DEADLINE_MS;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.Idempotency;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Completion of requests: the final response, abandoned requests, and the limits of retries. */
class RequestCompletionTest {

    @Test
    void aTimeoutAtTheDeadlineFailsTheRequestImmediatelyAndOnlyOnce() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 3);
        Send send = firstSend(fixture.arrive("act"));
        fixture.nowMs += DEADLINE_MS;
        List<Action> actions = fixture.endAttempt(send, 0, Outcome.TIMED_OUT, DEADLINE_MS, false);
        assertEquals(List.of(new Fail(send.request())), actions);
        assertTrue(fixture.handle(new RequestAbandoned(send.request())).isEmpty());
        assertTrue(fixture.endAttempt(send, 0, Outcome.SERVED, 700, true).isEmpty());
    }

    @Test
    void noAttemptIsSentAfterTheClientHasDisconnected() {
        BalancerFixture fixture = BalancerFixture.withServers(3);
        List<Action> first = fixture.arrive("read");
        List<Action> afterAbandoning = fixture.handle(new RequestAbandoned(1));
        assertEquals(1, actionsOf(afterAbandoning, Cancel.class).size());
        assertNull(firstSend(fixture.fireTimers(first)));
        assertTrue(fixture.endAttempt(firstSend(first), 0, Outcome.CANCELLED, 50, true)
                .isEmpty());
    }

    @Test
    void retriesAreLimitedIfAllAttemptsFail() {
        BalancerFixture fixture = BalancerFixture.withServers(8);
        int requestCount = 300;
        int sends = 0;
        for (int request = 0; request < requestCount; request++) {
            Send send = firstSend(fixture.arrive("read"));
            for (int attempt = 0; send != null; attempt++) {
                sends++;
                fixture.nowMs += 1;
                send = firstSend(fixture.endAttempt(send, attempt, Outcome.ERROR, 1, false));
            }
        }
        assertTrue(sends <= requestCount * 1.25 + 10, sends + " sends for " + requestCount);
    }

    @Test
    void aRequestThatCrashesServersReachesAtMostTwoServers() {
        BalancerFixture fixture = BalancerFixture.withServers(8);
        Send send = firstSend(fixture.arrive("read"));
        Set<String> reached = new HashSet<>();
        for (int attempt = 0; send != null; attempt++) {
            reached.add(send.server());
            send = firstSend(fixture.endAttempt(send, attempt, Outcome.RESET, 5, false));
        }
        assertEquals(2, reached.size());
    }
}
