package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.register.AcceptorId;
import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Relays, control planes on machines without a disk, beside some with one: the seeds of the first start may name only
 * relays. The seeds of a test vary the delays.
 */
class RelayTest {
    private static Set<String> addresses(List<AcceptorId> acceptors) {
        return acceptors.stream().map(AcceptorId::address).collect(Collectors.toSet());
    }

    /** Nothing is confirmed before the acceptors are machines with a disk, and they are as many as there can be. */
    @ParameterizedTest
    @CsvSource({"1,3,3", "2,6,3", "3,6,1", "4,3,2", "5,5,3", "6,2,3", "7,1,2"})
    void theFirstAcceptorSetMovesToMachinesWithADisk(long seed, int controls, int relays) {
        Schedule schedule = new Schedule(seed, controls, relays);
        schedule.awaitAllCaughtUp(SimulatedFleet.APPLY_MS);
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        Set<String> acceptors = addresses(schedule.core(0).process().acceptors().members());
        Set<String> withDisk = schedule.fleet.core().stream()
                .map(control -> control.ip() + ":" + Machine.INTERNAL_PORT)
                .collect(Collectors.toSet());
        assertTrue(withDisk.containsAll(acceptors), "acceptors " + acceptors);
        assertTrue(acceptors.size() >= controls - 1, "acceptors " + acceptors);
    }

    /** All machines lose power right after a change was confirmed, those without a disk too: it is there afterwards. */
    @ParameterizedTest
    @CsvSource({"1,3", "2,3", "3,6", "4,5"})
    void aConfirmedChangeSurvivesTheLossOfAllPower(long seed, int controls) {
        Schedule schedule = new Schedule(seed, controls, 3);
        schedule.changes(3);
        for (Machine machine : schedule.fleet.machines()) {
            schedule.faults.powerLoss(machine, 500, () -> {});
        }
        schedule.play(600);
        schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
        schedule.change();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** A relay answers an operator's call at once with the location of a control plane; data planes need no relay. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aRelayRedirectsOperators(long seed) {
        Schedule schedule = new Schedule(seed, 3, 3);
        schedule.play(SimulatedFleet.CONTACT_MS);
        Set<String> deciding = schedule.fleet.core().stream()
                .map(control -> control.ip() + ":" + Machine.CONTROL_PORT)
                .collect(Collectors.toSet());
        for (ControlMachine relay : schedule.fleet.relays()) {
            String[] location = {null};
            double sentAtMs = schedule.fleet.time().now();
            schedule.operators.call(relay, schedule.operators.next(), answer -> {
                assertEquals(307, answer.status());
                location[0] = URI.create(answer.location()).getAuthority();
            });
            schedule.until(SimulatedFleet.ACK_MS, "an answer", () -> location[0] != null);
            assertTrue(deciding.contains(location[0]), location[0]);
            assertTrue(schedule.fleet.time().now() - sentAtMs < 300, "the caller would have timed out");
            assertEquals(0, relay.process().version(), "a relay keeps no configuration");
        }
        schedule.fleet.relays().forEach(Machine::kill);
        schedule.change();
        schedule.awaitAllCaughtUp(SimulatedFleet.APPLY_MS);
    }
}
