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
 * Relays, which are control planes on machines without a disk, in a fleet that also has control planes with a disk. The
 * seed nodes of the initial start may all be relays. The random seeds of the tests vary the delays.
 */
class RelayTest {
    private static Set<String> addresses(List<AcceptorId> acceptors) {
        return acceptors.stream().map(AcceptorId::address).collect(Collectors.toSet());
    }

    /** No change is confirmed before the acceptors are machines with a disk: all of these, or all but one. */
    @ParameterizedTest
    @CsvSource({"1,3,3", "2,6,3", "3,6,1", "4,3,2", "5,5,3", "6,2,3", "7,1,2"})
    void theFirstAcceptorSetMovesToMachinesWithADisk(long seed, int controls, int relays) {
        Schedule schedule = new Schedule(seed, controls, relays);
        schedule.awaitAllCaughtUp(SimulatedFleet.APPLY_MS);
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        Set<String> acceptors = addresses(schedule.core(0).process().acceptors().members());
        Set<String> withDisk = schedule.fleet.core().stream()
                .map(control -> control.ip() + ":" + Machine.INTERNAL_PORT)
                .collect(Collectors.toSet());
        assertTrue(withDisk.containsAll(acceptors), "acceptors " + acceptors);
        assertTrue(acceptors.size() >= controls - 1, "acceptors " + acceptors);
    }

    /** All machines, also those without a disk, lose power right after a change was confirmed: the change is kept. */
    @ParameterizedTest
    @CsvSource({"1,3", "2,3", "3,6", "4,5"})
    void aConfirmedChangeSurvivesTheLossOfAllPower(long seed, int controls) {
        Schedule schedule = new Schedule(seed, controls, 3);
        schedule.makeChanges(3);
        for (Machine machine : schedule.fleet.machines()) {
            schedule.faults.powerLoss(machine, 500, () -> {});
        }
        schedule.run(600);
        schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
        schedule.makeChange();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** A relay redirects an operator's request to a control plane without delay; data planes need no relay. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aRelayRedirectsOperators(long seed) {
        Schedule schedule = new Schedule(seed, 3, 3);
        schedule.run(SimulatedFleet.CONTACT_MS);
        Set<String> controlAddresses = schedule.fleet.core().stream()
                .map(control -> control.ip() + ":" + Machine.CONTROL_PORT)
                .collect(Collectors.toSet());
        for (ControlMachine relay : schedule.fleet.relays()) {
            String[] location = {null};
            double sentAtMs = schedule.fleet.time().now();
            schedule.operators.sendRequest(relay, schedule.operators.newChange(), response -> {
                assertEquals(307, response.status());
                location[0] = URI.create(response.location()).getAuthority();
            });
            schedule.runUntil(SimulatedFleet.ACK_MS, "a response arrives", () -> location[0] != null);
            assertTrue(controlAddresses.contains(location[0]), location[0]);
            assertTrue(schedule.fleet.time().now() - sentAtMs < 300, "the client would have timed out");
            assertEquals(0, relay.process().version(), "a relay stores no configuration");
        }
        schedule.fleet.relays().forEach(Machine::kill);
        schedule.makeChange();
        schedule.awaitAllCaughtUp(SimulatedFleet.APPLY_MS);
    }
}
