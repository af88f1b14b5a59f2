package dewplank.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BootstrapSeedsTest {
    private static final Path DIRECTORY = Path.of("data");
    private static final List<String> FIRST = List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7");
    private static final List<String> LATER = List.of("10.0.0.2:7", "10.0.0.3:7", "10.0.0.9:7");

    private final MemoryFiles files = new MemoryFiles();

    private BootstrapSeeds founders() {
        return new BootstrapSeeds(files, DIRECTORY);
    }

    @Test
    void seedsThatChangeBeforeAnythingIsChosenChangeNothing() throws StoreException {
        assertEquals(FIRST, founders().load(FIRST, true));
        assertEquals(FIRST, founders().load(LATER, true));
        assertEquals(FIRST, founders().load(LATER, false));
    }

    @Test
    void theyOutliveALossOfPowerRightAfterTheyWereWritten() throws StoreException {
        founders().load(FIRST, true);
        files.losePower(MemoryFiles.Unsynced.GONE, new SplittableRandom(1));
        assertEquals(FIRST, founders().load(LATER, false));
    }

    /** An empty disk of a later start: its identity is nobody's among the first acceptors, so any seeds do. */
    @Test
    void aLaterStartWritesNothing() throws StoreException {
        assertEquals(LATER, founders().load(LATER, false));
        assertEquals(FIRST, founders().load(FIRST, false));
    }

    @Test
    void aDiskThatRefusesThemIsNotUsed() {
        files.fill(true);
        assertThrows(StoreException.class, () -> founders().load(FIRST, true));
    }
}
