package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServerPickerTest {
    private final HealthVotes votes = new HealthVotes();
    private final ServerPicker picker = new ServerPicker("here", votes, new SplittableRandom(7));

    private static List<TrackedServer> servers(int count) {
        List<TrackedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new TrackedServer("i-" + i, "service", "here", TrackedServer.Stage.PLAIN));
        }
        return servers;
    }

    private static HealthSummary summaryWithFirstServerSuspected() {
        return new HealthSummary(1, 1, List.of(new HealthSummary.Suspected("i-0".hashCode(), 3, 0)), List.of());
    }

    private void recordFailures(TrackedServer server, double nowMs, int times) {
        for (int i = 0; i < times; i++) {
            picker.recordOutcome(nowMs, server, "class", false);
        }
    }

    private TrackedServer pick(double nowMs, List<TrackedServer> servers, boolean allowsTrial) {
        return picker.pick(nowMs, ServerPicker.PickArguments.comparingInFlight(servers, server -> true, allowsTrial))
                .orElseThrow();
    }

    @Test
    void theServerWithFewerRequestsInFlightIsPicked() {
        List<TrackedServer> servers = servers(2);
        servers.get(0).requestStarted(0, 0);
        for (int i = 0; i < 50; i++) {
            assertEquals(servers.get(1), pick(0, servers, false));
        }
    }

    @Test
    void anEjectedServerGetsOneTrialPerSecondUntilOneIsServed() {
        List<TrackedServer> servers = servers(4);
        TrackedServer unhealthy = servers.get(0);
        recordFailures(unhealthy, 0, 3);
        int trials = 0;
        for (double nowMs = 10; nowMs < 3_010; nowMs += 10) {
            trials += pick(nowMs, servers, true) == unhealthy ? 1 : 0;
        }
        assertEquals(3, trials);
        picker.recordOutcome(3_010, unhealthy, "class", true);
        Map<TrackedServer, Integer> picked = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            picked.merge(pick(13_100, servers, false), 1, Integer::sum);
        }
        assertTrue(picked.containsKey(unhealthy), "the server is drawn again");
    }

    @Test
    void onlyRequestsThatAllowTrialsAreTrials() {
        List<TrackedServer> servers = servers(4);
        recordFailures(servers.get(0), 0, 3);
        for (double nowMs = 10; nowMs < 2_000; nowMs += 10) {
            assertNotEquals(servers.get(0), pick(nowMs, servers, false));
        }
    }

    @Test
    void withMoreThanHalfEjectedAllReadyServersAreDrawn() {
        List<TrackedServer> servers = servers(3);
        recordFailures(servers.get(0), 0, 3);
        recordFailures(servers.get(1), 0, 3);
        Map<TrackedServer, Integer> picked = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            picked.merge(pick(10, servers, true), 1, Integer::sum);
        }
        assertEquals(3, picked.size());
    }

    @Test
    void votesOfPeersEjectAServerThatIsHealthyAtThisDataPlane() {
        List<TrackedServer> servers = servers(3);
        picker.recordOutcome(0, servers.get(0), "class", true);
        for (String peer : List.of("a", "b", "c")) {
            votes.recordSummary(1, peer, summaryWithFirstServerSuspected());
        }
        assertTrue(picker.isEjected(200, servers.get(0)));
        assertTrue(!picker.isEjected(4_000, servers.get(0)), "the summaries have expired");
    }

    @Test
    void onlyPeersThatUsedTheServerVote() {
        List<TrackedServer> servers = servers(4);
        for (int i = 0; i < 20; i++) {
            votes.recordSummary(1, "silent" + i, new HealthSummary(1, 1, List.of(), List.of()));
        }
        votes.recordSummary(1, "a", summaryWithFirstServerSuspected());
        votes.recordSummary(1, "b", summaryWithFirstServerSuspected());
        assertTrue(picker.isEjected(200, servers.get(0)), "two of three votes");
        votes.recordSummary(
                1, "c", new HealthSummary(1, 1, List.of(), List.of(new HealthSummary.Healthy("i-0".hashCode(), 0))));
        assertTrue(!picker.isEjected(400, servers.get(0)), "two of four votes, and its own vote decides a tie");
    }

    @Test
    void drainingServersAndServersInBackoffAreNotPicked() {
        List<TrackedServer> servers = servers(2);
        servers.get(0).updateListing(false, TrackedServer.Stage.PLAIN);
        servers.get(1).backOff(0, 40, 2_000);
        assertEquals(
                Optional.empty(),
                picker.pick(10, ServerPicker.PickArguments.comparingInFlight(servers, server -> true, true)));
        assertEquals(servers.get(1), pick(41, servers, true));
    }

    @Test
    void theOwnerOfAPrefixIsPickedUnlessItsLoadExceedsTheCredit() {
        List<TrackedServer> servers = servers(3);
        TrackedServer owner = PrefixAffinity.ownerOf("5c1e07a2", servers).orElseThrow();
        ServerPicker.PickArguments arguments = new ServerPicker.PickArguments(
                servers, server -> true, server -> (double) server.tokensInFlight(), Optional.of(owner), 1_000, false);
        owner.requestStarted(0, 900);
        assertEquals(owner, picker.pick(0, arguments).orElseThrow());
        owner.requestStarted(0, 200);
        assertNotEquals(owner, picker.pick(0, arguments).orElseThrow());
    }

    @Test
    void onlyKeysOfARemovedServerChangeTheirOwner() {
        List<TrackedServer> servers = servers(5);
        List<TrackedServer> fewer = servers.subList(0, 4);
        int moved = 0;
        for (int i = 0; i < 1_000; i++) {
            TrackedServer before = PrefixAffinity.ownerOf("key" + i, servers).orElseThrow();
            TrackedServer after = PrefixAffinity.ownerOf("key" + i, fewer).orElseThrow();
            if (before == servers.get(4)) {
                moved++;
            } else {
                assertEquals(before, after);
            }
        }
        assertTrue(moved > 120 && moved < 280, "moved " + moved);
    }

    /** Ninety data planes together send an ejected server a few trials per second, regardless of the request rate. */
    @Test
    void theRateOfTrialsIsLimitedOverTheFleet() {
        int dataPlanes = 90;
        SplittableRandom random = new SplittableRandom(3);
        List<ServerPicker> fleet = new ArrayList<>();
        List<List<TrackedServer>> views = new ArrayList<>();
        for (int i = 0; i < dataPlanes; i++) {
            ServerPicker each =
                    new ServerPicker("here", new HealthVotes(), () -> dataPlanes, random.split(), Policy.ALL_ENABLED);
            List<TrackedServer> view = servers(4);
            for (int failure = 0; failure < 3; failure++) {
                each.recordOutcome(0, view.get(0), "class", false);
            }
            fleet.add(each);
            views.add(view);
        }
        int trials = 0;
        for (double nowMs = 10; nowMs < 9_000; nowMs += 100) {
            for (int i = 0; i < dataPlanes; i++) {
                TrackedServer picked = fleet.get(i)
                        .pick(nowMs, ServerPicker.PickArguments.comparingInFlight(views.get(i), server -> true, true))
                        .orElseThrow();
                trials += picked == views.get(i).get(0) ? 1 : 0;
            }
        }
        assertTrue(trials >= 9 && trials <= 45, trials + " trials in 9 s");
    }
}
