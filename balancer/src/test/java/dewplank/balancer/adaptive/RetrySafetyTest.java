package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.endpointIn;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * No effect happens twice: the decision after each outcome of an attempt, by idempotency and deduplication scope of
 * the request's class. The request is retried, rejected (it had no effect), or fails (its outcome is unknown).
 */
class RetrySafetyTest {

    /** The first attempt was sent to z1, cell 0; the only other server is in the given zone and cell. */
    @ParameterizedTest(name = "{0} {1}, {2} after {3} ms, other server in {4} cell {5}: {6}")
    @CsvSource({
        "SAFE,  ALL,  ERROR,          10, z2, 1, send",
        "SAFE,  ALL,  RESET,          10, z2, 1, send",
        "KEYED, ALL,  ERROR,          10, z2, 1, send",
        "KEYED, ALL,  ERROR,         450, z2, 1, reject",
        "KEYED, ZONE, ERROR,          10, z1, 1, send",
        "KEYED, ZONE, ERROR,          10, z2, 0, fail",
        "KEYED, ZONE, ERROR,         450, z1, 1, fail",
        "KEYED, ZONE, REJECTED,       10, z2, 1, send",
        "KEYED, ZONE, CONNECT_FAILED, 10, z2, 1, send",
        "KEYED, CELL, RESET,          10, z1, 0, send",
        "KEYED, CELL, RESET,          10, z1, 1, fail",
        "UNSAFE, ALL, ERROR,          10, z1, 0, fail",
        "UNSAFE, ALL, RESET,          10, z1, 0, fail",
        "UNSAFE, ALL, TIMED_OUT,      10, z1, 0, fail",
        "UNSAFE, ALL, CANCELLED,      10, z1, 0, fail",
        "UNSAFE, ALL, REJECTED,       10, z2, 1, send",
        "UNSAFE, ALL, CONNECT_FAILED, 10, z2, 1, send",
        "UNSAFE, ALL, NEVER_SENT,     10, z2, 1, reject",
    })
    void decisionAfterOneAttempt(
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            Outcome outcome,
            double elapsedMs,
            String zone,
            long cell,
            String expected) {
        assertEquals(
                expected, decisionAfter(settings(), idempotency, deduplicationScope, outcome, elapsedMs, zone, cell));
    }

    /**
     * The same if a server may reject a request after starting to execute it: only the rejections differ, because
     * they no longer prove that there was no effect.
     */
    @ParameterizedTest(name = "rejected may have run: {0} {1}, {2} after {3} ms, other server in {4} cell {5}: {6}")
    @CsvSource({
        "SAFE,  ALL,  REJECTED,       10, z2, 1, send",
        "KEYED, ALL,  REJECTED,       10, z2, 1, send",
        "KEYED, ALL,  REJECTED,          450, z2, 1, reject",
        "KEYED, ZONE, REJECTED,       10, z1, 1, send",
        "KEYED, ZONE, REJECTED,       10, z2, 0, fail",
        "KEYED, ZONE, REJECTED,          450, z1, 0, fail",
        "KEYED, CELL, REJECTED,       10, z2, 0, send",
        "KEYED, CELL, REJECTED,       10, z1, 1, fail",
        "KEYED, CELL, CONNECT_FAILED, 10, z2, 1, send",
        "UNSAFE, ALL, REJECTED,       10, z1, 0, fail",
        "UNSAFE, ALL, CONNECT_FAILED, 10, z2, 1, send",
        "UNSAFE, ALL, NEVER_SENT,     10, z2, 1, reject",
    })
    void decisionAfterOneAttemptIfRejectedRequestsMayHaveRun(
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            Outcome outcome,
            double elapsedMs,
            String zone,
            long cell,
            String expected) {
        SettingsBuilder settings = settings().rejectedMayHaveRun(true);
        assertEquals(
                expected, decisionAfter(settings, idempotency, deduplicationScope, outcome, elapsedMs, zone, cell));
    }

    private static String decisionAfter(
            SettingsBuilder settings,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            Outcome outcome,
            double elapsedMs,
            String zone,
            long cell) {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(
                settings.actIdempotency(idempotency).actDeduplicationScope(deduplicationScope));
        fixture.updateEndpoints(UpdateKind.CACHED, endpoint("a", Availability.UP));
        Send first = firstSend(fixture.arrive("act"));
        fixture.updateEndpoints(UpdateKind.FULL, endpointIn(zone, cell, "b")); // a is removed, b is added
        fixture.nowMs += elapsedMs;
        List<Action> actions = fixture.endAttempt(first, 0, outcome, elapsedMs, false);
        return describe(actions);
    }

    private static String describe(List<Action> actions) {
        if (!actionsOf(actions, Send.class).isEmpty()) {
            return "send";
        }
        if (!actionsOf(actions, Reject.class).isEmpty()) {
            return "reject";
        }
        return actionsOf(actions, Fail.class).isEmpty() ? "nothing" : "fail";
    }

    /** Connecting may be slow, and servers drop repeats only within the deduplication window. */
    @Test
    void aKeyedRetryIsWrittenWithinTheDeduplicationWindowOfTheFirstAttempt() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.KEYED), 2);
        Send first = firstSend(fixture.arrive("act"));
        assertEquals(399, first.writeWithinMs());
        fixture.nowMs += 100;
        assertEquals(
                299,
                firstSend(fixture.endAttempt(first, 0, Outcome.ERROR, 100, false))
                        .writeWithinMs());
        assertEquals(Double.POSITIVE_INFINITY, firstSend(fixture.arrive("read")).writeWithinMs());
    }
}
