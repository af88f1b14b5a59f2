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
    private final ServerPicker choice = new ServerPicker("here", votes, new SplittableRandom(7));

    private static List<TrackedServer> servers(int count) {
        List<TrackedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new TrackedServer("i-" + i, "service", "here", TrackedServer.Stage.PLAIN));
        }
        return servers;
    }

    private static HealthSummary suspecting() {
        return new HealthSummary(1, 1, List.of(new HealthSummary.Suspected("i-0".hashCode(), 3, 0)), List.of());
    }

    private void fail(TrackedServer s, double now, int times) {
        for (int i = 0; i < times; i++) {
            choice.recordOutcome(now, s, "class", false);
        }
    }

    private TrackedServer pick(double nowMs, List<TrackedServer> servers, boolean allowsTrial) {
        return choice.pick(nowMs, ServerPicker.PickArguments.byInFlight(servers, server -> true, allowsTrial))
                .orElseThrow();
    }

    @Test
    void ofTwoTheOneWithFewerInFlightIsTaken() {
        List<TrackedServer> servers = servers(2);
        servers.get(0).requestStarted(0, 0);
        for (int i = 0; i < 50; i++) {
            assertEquals(servers.get(1), pick(0, servers, false));
        }
    }

    @Test
    void aCondemnedServerGetsOneTrialASecondUntilTheVerdictTurns() {
        List<TrackedServer> servers = servers(4);
        TrackedServer sick = servers.get(0);
        fail(sick, 0, 3);
        int trials = 0;
        for (double now = 10; now < 3_010; now += 10) {
            trials += pick(now, servers, true) == sick ? 1 : 0;
        }
        assertEquals(3, trials);
        choice.recordOutcome(3_010, sick, "class", true);
        Map<TrackedServer, Integer> picked = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            picked.merge(pick(13_100, servers, false), 1, Integer::sum);
        }
        assertTrue(picked.containsKey(sick), "it is drawn again");
    }

    @Test
    void trialsGoOnlyWhereARequestMayBeTried() {
        List<TrackedServer> servers = servers(4);
        fail(servers.get(0), 0, 3);
        for (double now = 10; now < 2_000; now += 10) {
            assertNotEquals(servers.get(0), pick(now, servers, false));
        }
    }

    @Test
    void whereUnderHalfAreFreeAllReadyOnesAreDrawn() {
        List<TrackedServer> servers = servers(3);
        fail(servers.get(0), 0, 3);
        fail(servers.get(1), 0, 3);
        Map<TrackedServer, Integer> picked = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            picked.merge(pick(10, servers, true), 1, Integer::sum);
        }
        assertEquals(3, picked.size());
    }

    @Test
    void peersVotesCondemnAServerThatWasServedHere() {
        List<TrackedServer> servers = servers(3);
        choice.recordOutcome(0, servers.get(0), "class", true);
        for (String peer : List.of("a", "b", "c")) {
            votes.recordSummary(1, peer, suspecting());
        }
        assertTrue(choice.isEjected(200, servers.get(0)));
        assertTrue(!choice.isEjected(4_000, servers.get(0)), "summaries grow stale");
    }

    @Test
    void onlyPeersThatHaveSentThereVote() {
        List<TrackedServer> servers = servers(4);
        for (int i = 0; i < 20; i++) {
            votes.recordSummary(1, "silent" + i, new HealthSummary(1, 1, List.of(), List.of()));
        }
        votes.recordSummary(1, "a", suspecting());
        votes.recordSummary(1, "b", suspecting());
        assertTrue(choice.isEjected(200, servers.get(0)), "two of the three that vote");
        votes.recordSummary(
                1, "c", new HealthSummary(1, 1, List.of(), List.of(new HealthSummary.Healthy("i-0".hashCode(), 0))));
        assertTrue(!choice.isEjected(400, servers.get(0)), "two of four, and own traffic is well");
    }

    @Test
    void drainingOrRestingServersAreNotPicked() {
        List<TrackedServer> servers = servers(2);
        servers.get(0).updateListing(false, TrackedServer.Stage.PLAIN);
        servers.get(1).backOff(0, 40, 2_000);
        assertEquals(
                Optional.empty(), choice.pick(10, ServerPicker.PickArguments.byInFlight(servers, s -> true, true)));
        assertEquals(servers.get(1), pick(41, servers, true));
    }

    @Test
    void theHomeOfAPrefixIsTakenUnlessItIsBusierByMoreThanItSpares() {
        List<TrackedServer> servers = servers(3);
        TrackedServer home = PrefixAffinity.ownerOf("5c1e07a2", servers);
        ServerPicker.PickArguments query = new ServerPicker.PickArguments(
                servers, s -> true, s -> (double) s.tokensInFlight(), home, 1_000, false);
        home.requestStarted(0, 900);
        assertEquals(home, choice.pick(0, query).orElseThrow());
        home.requestStarted(0, 200);
        assertNotEquals(home, choice.pick(0, query).orElseThrow());
    }

    @Test
    void onlyTheKeysOfAServerThatLeavesChangeTheirHome() {
        List<TrackedServer> servers = servers(5);
        List<TrackedServer> fewer = servers.subList(0, 4);
        int moved = 0;
        for (int i = 0; i < 1_000; i++) {
            TrackedServer before = PrefixAffinity.ownerOf("key" + i, servers);
            TrackedServer after = PrefixAffinity.ownerOf("key" + i, fewer);
            if (before == servers.get(4)) {
                moved++;
            } else {
                assertEquals(before, after);
            }
        }
        assertTrue(moved > 120 && moved < 280, "moved " + moved);
    }

    /** Ninety sidecars together try a condemned server a few times a second, however many requests they have. */
    @Test
    void trialsAreAMatterOfTheFleet() {
        int sidecars = 90;
        SplittableRandom random = new SplittableRandom(3);
        List<ServerPicker> fleet = new ArrayList<>();
        List<List<TrackedServer>> views = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            ServerPicker each =
                    new ServerPicker("here", new HealthVotes(), () -> sidecars, random.split(), Policy.ALL_ENABLED);
            List<TrackedServer> view = servers(4);
            for (int failure = 0; failure < 3; failure++) {
                each.recordOutcome(0, view.get(0), "class", false);
            }
            fleet.add(each);
            views.add(view);
        }
        int trials = 0;
        for (double now = 10; now < 9_000; now += 100) {
            for (int i = 0; i < sidecars; i++) {
                TrackedServer picked = fleet.get(i)
                        .pick(now, ServerPicker.PickArguments.byInFlight(views.get(i), s -> true, true))
                        .orElseThrow();
                trials += picked == views.get(i).get(0) ? 1 : 0;
            }
        }
        assertTrue(trials >= 9 && trials <= 45, trials + " trials in 9 s");
    }
}
