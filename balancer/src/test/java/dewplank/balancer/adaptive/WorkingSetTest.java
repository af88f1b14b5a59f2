package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.actionsOf;
import static dewplank.balancer.adaptive.BalancerFixture.endpoint;
import static dewplank.balancer.adaptive.BalancerFixture.endpointIn;
import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static dewplank.balancer.adaptive.SettingsBuilder.DEADLINE_MS;
import static dewplank.balancer.adaptive.SettingsBuilder.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Hundreds of sidecars over many servers: working sets, connections, and ways that are slow. */
class WorkingSetTest {

    private static BalancerFixture instance(int replicaIndex, int replicaCount, int servers) {
        return BalancerFixture.withServers(settings().replica(replicaIndex, replicaCount), servers);
    }

    /** A thin sidecar: one request a second. */
    private static Set<String> used(BalancerFixture fixture, int requests) {
        Set<String> used = new HashSet<>();
        for (int index = 0; index < requests; index++) {
            used.add(fixture.serve("read", 10));
            fixture.nowMs += 1_000;
        }
        return used;
    }

    @Test
    void anInstanceWithLittleTrafficUsesFewServers() {
        Set<String> used = used(instance(3, 500, 100), 60);
        assertTrue(used.size() >= 2 && used.size() <= 6, used.toString());
    }

    /** Over a long day servers come and go with ever new ids: what is known of those gone must not add up. */
    @Test
    void serversThatHaveGoneAreForgottenOnceNothingIsInFlight() {
        BalancerFixture fixture = instance(0, 2, 1);
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
    void aHandfulOfInstancesUsesTheWholeFleet() {
        assertEquals(10, used(instance(0, 4, 10), 400).size());
    }

    @Test
    void theWorkingSetsOfAllInstancesCoverTheFleetEvenly() {
        Map<String, Integer> users = new HashMap<>();
        for (int replica = 0; replica < 400; replica++) {
            used(instance(replica, 400, 40), 20).forEach(server -> users.merge(server, 1, Integer::sum));
        }
        assertEquals(40, users.size());
        double mean =
                users.values().stream().mapToInt(Integer::intValue).average().orElse(0);
        users.forEach((server, count) ->
                assertTrue(count > mean / 3 && count < mean * 2, server + ": " + count + " of mean " + mean));
    }

    @Test
    void ownTrafficWidensTheSet() {
        BalancerFixture fixture = instance(3, 500, 100);
        Set<String> used = new HashSet<>();
        for (int index = 0; index < 2_000; index++) { // a hundred a second
            used.add(fixture.serve("read", 10));
        }
        assertTrue(used.size() > 20, used.size() + " servers");
    }

    @Test
    void anEjectedMemberOfTheWorkingSetIsReplaced() {
        BalancerFixture fixture = instance(3, 500, 100);
        Set<String> before = used(fixture, 40);
        String bad = before.iterator().next();
        Set<String> after = new HashSet<>();
        for (int index = 0; index < 80; index++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 10;
            boolean fails = send.server().equals(bad);
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
        assertFalse(after.isEmpty(), "another server takes its place");
    }

    @Test
    void idleConnectionsOutsideTheSetAreClosed() {
        BalancerFixture fixture = instance(3, 500, 100);
        for (int index = 0; index < 1_000; index++) {
            fixture.serve("read", 10);
        }
        fixture.nowMs += 30_000; // traffic grew thin
        used(fixture, 20);
        assertTrue(actionsOf(fixture.actions, CloseIdleConnections.class).size() > 10);
    }

    /** New connections grew slow; the servers answer as ever on open ones. Nobody is condemned for that. */
    @Test
    void aSlowConnectionIsNoLateServer() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        used(fixture, 100);
        fixture.nowMs += 60_000; // all connections are closed as idle
        Set<String> contacted = new HashSet<>();
        for (int index = 0; index < 40; index++) {
            Send send = firstSend(fixture.arrive("read"));
            double elapsedMs = contacted.add(send.server()) ? 200 : 10;
            fixture.nowMs += elapsedMs;
            fixture.endServed(send, elapsedMs);
        }
        assertTrue(used(fixture, 60).size() >= 3, "nobody is condemned");
        assertTrue(actionsOf(fixture.actions, Reject.class).isEmpty());
    }

    /** The way to the far zone grows to most of the aim, no queue does: once that shows, nothing is refused. */
    @Test
    void aSlowNetworkIsNoQueue() {
        BalancerFixture fixture = BalancerFixture.withoutEndpoints(settings());
        fixture.updateEndpoints(UpdateKind.CACHED, endpoint("near", Availability.UP));
        used(fixture, 100);
        fixture.updateEndpoints(
                UpdateKind.INCREMENTAL, endpoint("near", Availability.DRAINING), endpointIn("z2", 1, "far"));
        used(fixture, 100);
        int rejected = 0;
        for (int index = 0; index < 600; index++) {
            List<Action> actions = fixture.arrive("read");
            Send send = firstSend(actions);
            fixture.nowMs += 240;
            if (send != null) {
                fixture.endServed(send, 240);
            }
            rejected += index < 400 ? 0 : actionsOf(actions, Reject.class).size();
        }
        assertEquals(0, rejected);
    }

    /** Where the goal has a tail a late answer costs more than an early refusal: shedding starts earlier. */
    @Test
    void withATailMoreIsRejectedEarly() {
        int[] rejected = new int[2];
        for (int tail = 0; tail < 2; tail++) {
            BalancerFixture fixture =
                    BalancerFixture.withServers(settings().tail(tail * 0.3, tail * 0.3 > 0 ? 0.01 : 0), 4);
            for (int index = 0; index < 600; index++) {
                Send send = firstSend(fixture.arrive("read"));
                fixture.nowMs += 20;
                if (send != null) {
                    fixture.endServed(send, index < 100 ? 20 : 60);
                }
            }
            rejected[tail] = actionsOf(fixture.actions, Reject.class).size();
        }
        assertTrue(rejected[1] > rejected[0], rejected[0] + " without, " + rejected[1] + " with");
    }

    /** Found at full fleet: jammed servers let requests run out of time, and got as many as the others. */
    @Test
    void aServerThatAnswersTooLateIsNotTakenForQuick() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        used(fixture, 40);
        int sentToSlow = 0;
        for (int index = 0; index < 40; index++) {
            Send send = firstSend(fixture.arrive("read"));
            boolean jammed = List.of("s0", "s1").contains(send.server());
            double elapsedMs = jammed ? DEADLINE_MS : 10;
            fixture.nowMs += elapsedMs;
            fixture.endAttempt(send, 0, jammed ? Outcome.TIMED_OUT : Outcome.SERVED, elapsedMs, true);
            sentToSlow += jammed ? 1 : 0;
            fixture.nowMs += 1_100; // doubts lapse in between
        }
        assertTrue(sentToSlow <= 8, sentToSlow + " of 40 sent to servers that let them run out of time");
    }
}
