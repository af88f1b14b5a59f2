package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that a disabled mechanism has no effect. */
class PolicyTest {
    private static List<TrackedServer> servers(String... zones) {
        List<TrackedServer> servers = new ArrayList<>();
        for (String zone : zones) {
            servers.add(new TrackedServer("i-" + servers.size(), "service", zone, TrackedServer.Stage.PLAIN));
        }
        return servers;
    }

    private static ServerPicker without(Mechanism... disabled) {
        Policy policy = Policy.without(List.of(disabled));
        return new ServerPicker("here", new HealthVotes(policy), () -> 90, new SplittableRandom(5), policy);
    }

    private static long picks(ServerPicker picker, double nowMs, List<TrackedServer> servers, TrackedServer of) {
        long picks = 0;
        for (int i = 0; i < 1_000; i++) {
            picks += picker.pick(nowMs, ServerPicker.PickArguments.comparingInFlight(servers, server -> true, false))
                                    .orElseThrow()
                            == of
                    ? 1
                    : 0;
        }
        return picks;
    }

    @Test
    void everyMechanismHasItsOptionNameAndCanBeDisabled() {
        for (Mechanism mechanism : Mechanism.values()) {
            assertEquals(Optional.of(mechanism), Mechanism.ofOptionName(mechanism.optionName()));
            assertTrue(Policy.ALL_ENABLED.isEnabled(mechanism));
            assertFalse(Policy.without(List.of(mechanism)).isEnabled(mechanism));
        }
        assertEquals(Optional.empty(), Mechanism.ofOptionName("unknown"));
    }

    @Test
    void withoutCondemnationNoServerIsEjected() {
        List<TrackedServer> servers = servers("here", "here", "here");
        ServerPicker picker = without(Mechanism.CONDEMNATION, Mechanism.WEIGHTS);
        for (int i = 0; i < 9; i++) {
            picker.recordOutcome(0, servers.get(0), "class", false);
        }
        assertTrue(picks(picker, 1, servers, servers.get(0)) > 200);
    }

    @Test
    void withoutPooledFailuresOneDataPlaneMustObserveAllFailures() {
        HealthVotes votes = new HealthVotes(Policy.without(List.of(Mechanism.POOLED_FAILURES)));
        HealthSummary one =
                new HealthSummary(1, 1, List.of(new HealthSummary.Suspected("i-0".hashCode(), 1, 0)), List.of());
        for (String peer : List.of("a", "b", "c", "d")) {
            votes.recordSummary(0, peer, one);
        }
        assertFalse(votes.isEjected(1, "i-0", new OutcomeWindow()));
    }

    @Test
    void withoutWeightsAFailingServerIsDrawnAsOftenAsOthers() {
        List<TrackedServer> servers = servers("here", "here", "here");
        ServerPicker picker = without(Mechanism.WEIGHTS);
        picker.recordOutcome(0, servers.get(0), "class", false);
        picker.recordOutcome(0, servers.get(0), "class", false);
        assertTrue(picks(picker, 1, servers, servers.get(0)) > 250);
    }

    @Test
    void withoutTwoChoicesLoadIsNotCompared() {
        List<TrackedServer> servers = servers("here", "here");
        servers.get(0).requestStarted(0, 0);
        assertEquals(0, picks(without(), 0, servers, servers.get(0)));
        assertTrue(picks(without(Mechanism.TWO_CHOICES), 0, servers, servers.get(0)) > 400);
    }

    @Test
    void withoutZoneAServerInAnotherZoneIsDrawnAsOftenAsOthers() {
        List<TrackedServer> servers = servers("here", "there", "here");
        assertTrue(picks(without(Mechanism.ZONE), 0, servers, servers.get(1)) > 250);
    }

    @Test
    void withoutRestingAServerInBackoffIsPicked() {
        List<TrackedServer> servers = servers("here", "here");
        servers.get(0).backOff(0, 1_000, 2_000);
        assertEquals(0, picks(without(), 10, servers, servers.get(0)));
        assertNotEquals(0, picks(without(Mechanism.RESTING), 10, servers, servers.get(0)));
    }

    @Test
    void withoutReuseAServerWithoutAConnectionIsPickedAsOftenAsOthers() {
        List<TrackedServer> servers = servers("here", "here");
        PromptPrefix prompt = PromptPrefix.parse("5c1e07a2:8000,91bd3f06:410");
        TrackedServer connected = servers.get(1);
        PrefillDecodePicker.DecodeArguments arguments = new PrefillDecodePicker.DecodeArguments(
                servers, prompt, Optional.of("here"), server -> server == connected, server -> true, false);
        PrefillDecodePicker withReuse = new PrefillDecodePicker(without());
        PrefillDecodePicker withoutReuse = new PrefillDecodePicker(without(Mechanism.REUSE));
        int picksWithoutConnection = 0;
        for (int i = 0; i < 100; i++) {
            assertEquals(connected, withReuse.pickDecodeServer(0, arguments).orElseThrow());
            picksWithoutConnection +=
                    withoutReuse.pickDecodeServer(0, arguments).orElseThrow() == connected ? 0 : 1;
        }
        assertTrue(picksWithoutConnection > 25);
        for (int i = 0; i < 2; i++) { // a small additional load outweighs a connection
            connected.requestStarted(0, 0);
        }
        assertNotEquals(connected, withReuse.pickDecodeServer(0, arguments).orElseThrow());
    }

    @Test
    void withoutHomesPromptsWithTheSamePrefixGoToSeveralServers() {
        List<TrackedServer> servers = servers("here", "here", "here", "here");
        PromptPrefix prompt = PromptPrefix.parse("5c1e07a2:8000,91bd3f06:410");
        PrefillDecodePicker withAffinity = new PrefillDecodePicker(without());
        PrefillDecodePicker withoutAffinity = new PrefillDecodePicker(without(Mechanism.HOMES));
        TrackedServer owner = withAffinity
                .pickPrefillServer(0, servers, prompt, server -> true)
                .orElseThrow();
        int atOtherServers = 0;
        for (int i = 0; i < 100; i++) {
            assertEquals(
                    owner,
                    withAffinity
                            .pickPrefillServer(0, servers, prompt, server -> true)
                            .orElseThrow());
            atOtherServers += withoutAffinity
                                    .pickPrefillServer(0, servers, prompt, server -> true)
                                    .orElseThrow()
                            == owner
                    ? 0
                    : 1;
        }
        assertTrue(atOtherServers > 50);
    }
}
