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

    private BootstrapSeeds seeds() {
        return new BootstrapSeeds(files, DIRECTORY);
    }

    @Test
    void storedSeedsTakePrecedenceOverLaterSettings() throws StoreException {
        assertEquals(FIRST, seeds().loadOrStore(FIRST, true));
        assertEquals(FIRST, seeds().loadOrStore(LATER, true));
        assertEquals(FIRST, seeds().loadOrStore(LATER, false));
    }

    @Test
    void storedSeedsSurviveAPowerLossRightAfterTheWrite() throws StoreException {
        seeds().loadOrStore(FIRST, true);
        files.losePower(MemoryFiles.Unsynced.LOST, new SplittableRandom(1));
        assertEquals(FIRST, seeds().loadOrStore(LATER, false));
    }

    /** The identity of a disk that is empty at a later start is not among the first acceptors, so any seeds will do. */
    @Test
    void aLaterStartStoresNothing() throws StoreException {
        assertEquals(LATER, seeds().loadOrStore(LATER, false));
        assertEquals(FIRST, seeds().loadOrStore(FIRST, false));
    }

    @Test
    void failsIfTheDiskRejectsTheWrite() {
        files.fill(true);
        assertThrows(StoreException.class, () -> seeds().loadOrStore(FIRST, true));
    }
}
