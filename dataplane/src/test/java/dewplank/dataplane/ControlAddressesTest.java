package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ControlAddressesTest {
    private final ControlAddresses addresses = new ControlAddresses();

    @Test
    void whatNobodyVouchesForIsForgottenButForSeedsAndThoseInUse() {
        addresses.seeds(0, List.of("seed:1"), Set.of());
        addresses.told(0, List.of("dead:1", "used:1", "live:1"), Set.of());
        double later = ControlAddresses.FORGET_MS;
        addresses.forget(later, Set.of("used:1"));
        assertEquals(4, addresses.size());
        addresses.told(later, List.of("live:1"), Set.of("used:1"));
        addresses.forget(later + 1, Set.of("used:1"));
        assertEquals(List.of("seed:1", "used:1", "live:1"), addresses.candidates(later + 1, Set.of()));
    }

    @Test
    void theOneLongestUnheardOfMakesRoom() {
        addresses.seeds(0, List.of("seed:1"), Set.of());
        for (int i = 1; i < ControlAddresses.MOST; i++) {
            addresses.told(i, List.of("a:" + i), Set.of());
        }
        addresses.told(100, List.of("b:1"), Set.of("a:1"));
        List<String> known = addresses.candidates(100, Set.of());
        assertEquals(ControlAddresses.MOST, known.size());
        assertTrue(known.containsAll(List.of("seed:1", "a:1", "b:1")));
        assertFalse(known.contains("a:2"));
    }

    @Test
    void oneThatIsLetBeIsNoCandidateBeforeItsTime() {
        addresses.told(0, List.of("a:1", "b:1"), Set.of());
        addresses.rest("a:1", 50);
        addresses.rest("a:1", 20);
        assertEquals(List.of("b:1"), addresses.candidates(49, Set.of()));
        assertEquals(List.of("a:1"), addresses.candidates(50, Set.of("b:1")));
    }
}
