package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.DEADLINE_MS;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.Idempotency;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Ejection of unhealthy servers, the trials that end it, and outcomes that do not affect a server's health. */
class ServerEjectionTest {

    @Test
    void threeErrorsEjectAServerAndTrialsAreSentOncePerSecond() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.runReads(1_200, 5, "s0");
        Map<String, Integer> later = fixture.runReads(500, 10, "s0"); // five seconds
        int trials = later.getOrDefault("s0", 0);
        assertTrue(trials >= 3 && trials <= 6, trials + " trials");
    }

    @Test
    void twoErrorsDoNotEjectAServer() {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        int errors = 0;
        while (errors < 2) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 5;
            boolean fail = send.server().equals("s0");
            errors += fail ? 1 : 0;
            Send retry = firstSend(fixture.endAttempt(send, 0, fail ? Outcome.ERROR : Outcome.SERVED, 5, !fail));
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 5, true);
            }
        }
        assertTrue(fixture.runReads(300, 5).getOrDefault("s0", 0) > 30);
    }

    /**
     * Regression: an eighth of all rejections were trials, rejected because of the latency of the server under trial.
     */
    @Test
    void aTrialIsSentRegardlessOfTheServersLatency() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.runReads(1_200, 5, "s0");
        int rejected = 0;
        int trials = 0;
        for (int request = 0; request < 600; request++) {
            List<Action> actions = fixture.arrive("read");
            rejected += actionsOf(actions, Reject.class).size();
            Send send = firstSend(actions);
            fixture.nowMs += 20;
            if (send != null && send.server().equals("s0")) {
                trials++;
                fixture.nowMs += DEADLINE_MS;
                fixture.endAttempt(send, 0, Outcome.TIMED_OUT, DEADLINE_MS, true);
            } else if (send != null) {
                fixture.endServed(send, 20);
            }
        }
        assertEquals(0, rejected);
        assertTrue(trials >= 6, trials + " trials of the slow server");
    }

    @Test
    void aServerThatServesAgainIsPickedAgain() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.runReads(1_200, 5, "s0");
        fixture.runReads(1_200, 10); // twelve seconds without errors
        assertTrue(fixture.runReads(400, 5).getOrDefault("s0", 0) > 60);
    }

    @Test
    void allServersArePickedWhileMoreThanHalfAreEjected() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.runReads(400, 5, "s0", "s1", "s2");
        fixture.nowMs += 1_100; // the suspicions expire, the ejections remain
        long elsewhere = 0;
        // No request completes: s3 would receive all of them if only servers that are not ejected were picked.
        for (int request = 0; request < 4; request++) {
            elsewhere += firstSend(fixture.arrive("read")).server().equals("s3") ? 0 : 1;
        }
        assertTrue(elsewhere >= 1, elsewhere + " sent to ejected servers");
    }

    @Test
    void rejectionsAndCancellationsDoNotAffectHealth() {
        BalancerFixture fixture = BalancerFixture.withServers(2);
        for (int request = 0; request < 50; request++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 700;
            Outcome outcome = send.server().equals("s0") ? Outcome.REJECTED : Outcome.SERVED;
            Send retry = firstSend(fixture.endAttempt(send, 0, outcome, 5, outcome == Outcome.SERVED));
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 5, true);
            }
        }
        fixture.nowMs += 6_500; // s0's backoff has ended, an ejection would not have
        assertTrue(fixture.runReads(200, 5).getOrDefault("s0", 0) > 20);
    }

    @Test
    void aServerThatDoesNotRespondIsEjectedBeforeAnyTimeout() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        fixture.runReads(100, 5);
        int hung = 0;
        for (int request = 0; request < 100; request++) {
            List<Action> first = fixture.arrive("read");
            Send send = firstSend(first);
            if (send.server().equals("s0")) {
                hung++;
                fixture.fireTimers(first);
                Send retry = firstSend(fixture.endAttempt(send, 0, Outcome.CANCELLED, 100, false));
                if (retry != null) {
                    fixture.endAttempt(retry, 1, Outcome.SERVED, 10, true);
                }
            } else {
                fixture.nowMs += 10;
                fixture.endServed(send, 10);
            }
        }
        assertTrue(hung <= 6, hung + " sends to a hung server");
    }

    @Test
    void unsafeRequestsAreNotSentAsTrials() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 4);
        fixture.runReads(1_200, 5, "s0");
        for (int request = 0; request < 100; request++) {
            fixture.nowMs += 100;
            if (request % 5 == 0) {
                fixture.runReads(10, 1, "s0");
            }
            assertNotEquals("s0", fixture.serve("act", 10));
        }
    }

    /**
     * Regression: with one response in twenty failing, nearly all servers were ejected because of the last outcome of
     * one class while they served the others. A class that sends no trials could not end the ejection.
     */
    @Test
    void aServerThatServesAnotherClassAfterwardsIsNotEjected() {
        BalancerFixture fixture = BalancerFixture.withServers(settings().actIdempotency(Idempotency.UNSAFE), 1);
        for (int request = 0; request < 8; request++) {
            fixture.serve("act", 5);
        }
        for (int request = 0; request < 3; request++) {
            Send send = firstSend(fixture.arrive("act"));
            fixture.nowMs += 5;
            fixture.endAttempt(send, 0, Outcome.RESET, 5, false);
        }
        fixture.updateEndpoints(UpdateKind.INCREMENTAL, endpoint("s1", Availability.UP));
        fixture.nowMs += 1_100;
        Map<String, Integer> firstSends = fixture.runReads(200, 5);
        assertTrue(firstSends.getOrDefault("s0", 0) > 40, firstSends.toString());
    }
}
