package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Tenant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load shedding: the least valuable requests are rejected first, only if the fleet lacks capacity, and not because of
 * a single slow server.
 */
class AdmissionTest {

    /**
     * Sends requests of both classes, one every 5 ms, each of which takes {@code elapsedMs}.
     *
     * @return the number of reads and the number of acts that were rejected
     */
    private static int[] sendBothClasses(BalancerFixture fixture, int rounds, double elapsedMs) {
        int[] rejected = new int[2];
        for (int round = 0; round < rounds; round++) {
            for (String requestClass : List.of("read", "act")) {
                List<Action> actions = fixture.arrive(requestClass);
                fixture.nowMs += 5;
                Send send = firstSend(actions);
                if (send == null) {
                    rejected[requestClass.equals("read") ? 0 : 1]++;
                } else {
                    fixture.endServed(send, elapsedMs);
                }
            }
        }
        return rejected;
    }

    @Test
    void anOverloadedFleetRejectsTheLeastValuableRequestsFirst() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        sendBothClasses(fixture, 100, 20);
        sendBothClasses(fixture, 100, 60);
        // At every server, responses take a fifth of the latency target, three times the idle time.
        int[] rejected = sendBothClasses(fixture, 200, 60);
        assertTrue(rejected[0] > 10, rejected[0] + " reads rejected");
        assertTrue(rejected[1] < rejected[0] / 4, rejected[1] + " acts rejected");
    }

    /** A service time of a quarter of the latency target is no overload if it is also the idle service time. */
    @Test
    void aFleetAtItsIdleServiceTimeRejectsNoRequests() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        sendBothClasses(fixture, 30_000, 80);
        int[] rejected = sendBothClasses(fixture, 200, 80);
        assertEquals(0, rejected[0] + rejected[1]);
    }

    @Test
    void aFastFleetRejectsNoRequests() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        int[] rejected = sendBothClasses(fixture, 300, 30);
        assertEquals(0, rejected[0] + rejected[1]);
    }

    /**
     * Regression: a rejected fraction that only follows the current lateness leaves the servers overloaded
     * permanently.
     */
    @Test
    void sustainedLatenessIncreasesRejectionsUntilQueuesAreShort() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        sendBothClasses(fixture, 50, 20);
        int[] first = sendBothClasses(fixture, 60, 170);
        sendBothClasses(fixture, 200, 170);
        int[] later = sendBothClasses(fixture, 60, 170);
        assertTrue(
                later[0] + later[1] > first[0] + first[1] + 10,
                "increased from " + (first[0] + first[1]) + " to " + (later[0] + later[1]));
        sendBothClasses(fixture, 600, 20);
        int[] after = sendBothClasses(fixture, 60, 20);
        assertEquals(0, after[0] + after[1]);
    }

    /** Old latency samples must not make an idle instance reject requests. */
    @Test
    void anIdleInstanceDoesNotRejectBecauseOfOldSamples() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        sendBothClasses(fixture, 100, 20);
        sendBothClasses(fixture, 200, 150);
        int rejected = 0;
        for (int request = 0; request < 20; request++) {
            fixture.nowMs += 5_000;
            Send send = firstSend(fixture.arrive("read"));
            if (send != null) {
                fixture.endServed(send, 150);
            }
            rejected += send == null ? 1 : 0;
        }
        // A response time of half the latency target alone justifies rejecting a fifth.
        assertTrue(rejected <= 8, rejected + " of 20 rejected");
    }

    /** If the goal has a tail weight, a late response costs more than a rejection: load shedding starts earlier. */
    @Test
    void aTailWeightInTheGoalIncreasesRejections() {
        int without = countRejectedReads(settings());
        int with = countRejectedReads(settings().tail(0.3, 0.01));
        assertTrue(with > without, without + " without, " + with + " with");
    }

    /** The number of 600 reads that are rejected at four servers that slow down from 20 ms to 60 ms. */
    private static int countRejectedReads(SettingsBuilder settings) {
        BalancerFixture fixture = BalancerFixture.withServers(settings, 4);
        for (int request = 0; request < 600; request++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 20;
            if (send != null) {
                fixture.endServed(send, request < 100 ? 20 : 60);
            }
        }
        return actionsOf(fixture.actions, Reject.class).size();
    }

    /** A tenant at ten times its share, or one without a share, does not displace a tenant within its share. */
    @ParameterizedTest(name = "{0} within its share, {1} above its share")
    @CsvSource({"small, big", "small,"})
    void aTenantFarOverItsShareIsRejectedFirst(String within, String over) {
        BalancerFixture fixture = BalancerFixture.withServers(
                settings().tenants(new Tenant("big", 0.5, 50), new Tenant("small", 0.5, 50)), 4);
        int[] rejected = new int[2];
        for (int request = 0; request < 1_500; request++) {
            boolean small = request % 10 == 0;
            Send send = firstSend(fixture.arriveFromTenant(small ? within : over));
            fixture.nowMs += 5;
            if (send != null) {
                fixture.endServed(send, request < 200 ? 20 : 80);
            } else {
                rejected[small ? 1 : 0]++;
            }
        }
        assertTrue(rejected[0] > 50, rejected[0] + " rejected");
        assertTrue(rejected[1] <= rejected[0] / 30, rejected[1] + " rejected within the share");
    }

    @Test
    void rejectionsStateARetryDelayWithinTheLimit() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        sendBothClasses(fixture, 100, 20);
        sendBothClasses(fixture, 300, 250);
        List<Reject> rejections = actionsOf(fixture.actions, Reject.class);
        assertTrue(rejections.size() > 10);
        for (Reject rejection : rejections) {
            assertTrue(
                    rejection.retryAfterMs() > 0 && rejection.retryAfterMs() <= 300,
                    "advice " + rejection.retryAfterMs());
        }
    }

    /** The service time of a request at the server to which it was sent. */
    private interface ServiceTime {
        double ms(int request, Send send, RandomGenerator random);
    }

    /** The number of 10,000 reads that are rejected: ten seeds, eight servers, one read every 10 ms. */
    private static int countRejected(ServiceTime serviceTime) {
        int rejected = 0;
        for (int seed = 1; seed <= 10; seed++) {
            RandomGenerator random = new SplittableRandom(seed);
            BalancerFixture fixture = BalancerFixture.withServers(8);
            for (int request = 0; request < 1_000; request++) {
                Send send = firstSend(fixture.arrive("read"));
                fixture.nowMs += 10;
                rejected += send == null ? 1 : 0;
                if (send != null) {
                    fixture.endServed(send, serviceTime.ms(request, send, random));
                }
            }
        }
        return rejected;
    }

    /**
     * Regression: an idle fleet with heavy-tailed service times of a quarter of the target rejected a tenth of the
     * requests.
     */
    @Test
    void anIdleFleetWithServiceTimesOfAQuarterOfTheTargetRejectsAlmostNoRequests() {
        // Log-normal: mean and standard deviation are a quarter of the latency target.
        int rejected = countRejected((request, send, random) -> 75 * Math.exp(0.83 * random.nextGaussian() - 0.35));
        assertTrue(rejected <= 50, rejected + " of 10,000 rejected");
    }

    /** Regression: the lateness of slow servers caused rejections although other servers had capacity. */
    @Test
    void slowServersWithHeavyTailedServiceTimesCauseAlmostNoRejections() {
        int rejected = countRejected((request, send, random) -> random.nextExponential()
                * (request >= 300 && !List.of("s0", "s1", "s2").contains(send.server()) ? 240 : 40));
        assertTrue(rejected <= 50, rejected + " of 10,000 rejected");
    }

    /** Regression: drawing two slow servers led to rejections while other servers were idle. */
    @Test
    void slowServersInAFleetOfFastOnesCauseNoRejections() {
        BalancerFixture fixture = BalancerFixture.withServers(6);
        int rejected = 0;
        for (int request = 0; request < 600; request++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 5;
            if (send == null) {
                rejected++;
            } else {
                boolean slow = send.server().equals("s0") || send.server().equals("s1");
                fixture.endServed(send, slow ? 250 : 20);
            }
        }
        assertTrue(rejected <= 3, rejected + " rejected");
    }

    /** For a class of value 0, the weight of the worst-served class would divide by zero. */
    @Test
    void aClassOfValueZeroIsServedByAnIdleFleetAndRejectedFirst() {
        SettingsBuilder zeroValue = settings().classes(requestClass("read", 0), requestClass("act", 5));
        BalancerFixture fixture = BalancerFixture.withServers(zeroValue, 4);
        assertArrayEquals(new int[] {0, 0}, sendBothClasses(fixture, 100, 20));
        sendBothClasses(fixture, 100, 60);
        int[] rejected = sendBothClasses(fixture, 200, 60);
        assertTrue(rejected[0] > 10, rejected[0] + " reads rejected");
        assertTrue(rejected[1] < rejected[0] / 4, rejected[1] + " acts rejected");
    }

    private static RequestClass requestClass(String name, double value) {
        return new RequestClass(
                name,
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                0,
                SettingsBuilder.LATENCY_TARGET_MS,
                0,
                SettingsBuilder.DEADLINE_MS,
                value,
                0,
                false);
    }
}
