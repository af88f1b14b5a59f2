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
 * Control processes on machines without a disk, beside some with one: the seeds of the first start may name only the
 * former. Seeds of a test vary the delays.
 */
class RelayTest {
    private static Set<String> addresses(List<AcceptorId> acceptors) {
        return acceptors.stream().map(AcceptorId::address).collect(Collectors.toSet());
    }

    /** Nothing is confirmed before the acceptors are machines with a disk, and they are as many as there can be. */
    @ParameterizedTest
    @CsvSource({"1,3,3", "2,6,3", "3,6,1", "4,3,2", "5,5,3", "6,2,3", "7,1,2"})
    void theFirstSetMovesToMachinesWithADisk(long seed, int controls, int relays) {
        Schedule s = new Schedule(seed, controls, relays);
        s.everyoneCatchesUp(SimulatedFleet.APPLY_MS);
        s.play(SimulatedFleet.CATCH_UP_MS);
        Set<String> acceptors = addresses(s.core(0).process().acceptors().members());
        Set<String> withDisk = s.fleet.core().stream()
                .map(c -> c.ip() + ":" + Machine.INTERNAL_PORT)
                .collect(Collectors.toSet());
        assertTrue(withDisk.containsAll(acceptors), "acceptors " + acceptors);
        assertTrue(acceptors.size() >= controls - 1, "acceptors " + acceptors);
    }

    /** All machines lose power right after a change was confirmed, those without a disk too: it is there afterwards. */
    @ParameterizedTest
    @CsvSource({"1,3", "2,3", "3,6", "4,5"})
    void whatWasConfirmedOutlivesTheLossOfAllPower(long seed, int controls) {
        Schedule s = new Schedule(seed, controls, 3);
        s.changes(3);
        for (Machine machine : s.fleet.machines()) {
            s.faults.powerLoss(machine, 500, () -> {});
        }
        s.play(600);
        s.everyoneCatchesUp(SimulatedFleet.RECOVERY_MS);
        s.change();
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** An operator's call to one is answered at once, by the place of one that decides; data planes live without. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aRelaySendsOperatorsOn(long seed) {
        Schedule s = new Schedule(seed, 3, 3);
        s.play(SimulatedFleet.CONTACT_MS);
        Set<String> deciding = s.fleet.core().stream()
                .map(c -> c.ip() + ":" + Machine.CONTROL_PORT)
                .collect(Collectors.toSet());
        for (ControlMachine relay : s.fleet.relays()) {
            String[] place = {null};
            double asked = s.fleet.time().now();
            s.operators.call(relay, s.operators.next(), answer -> {
                assertEquals(307, answer.status());
                place[0] = URI.create(answer.location()).getAuthority();
            });
            s.until(SimulatedFleet.ACK_MS, "an answer", () -> place[0] != null);
            assertTrue(deciding.contains(place[0]), place[0]);
            assertTrue(s.fleet.time().now() - asked < 300, "an answer that costs the caller its patience");
            assertEquals(0, relay.process().version(), "a relay keeps no configuration");
        }
        s.fleet.relays().forEach(Machine::kill);
        s.change();
        s.everyoneCatchesUp(SimulatedFleet.APPLY_MS);
    }
}
