package dewplank.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BootstrapSeedsTest {
    private static final Path DIRECTORY = Path.of("data");
    private static final List<String> FIRST_SEEDS = List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7");
    private static final List<String> LATER_SEEDS = List.of("10.0.0.2:7", "10.0.0.3:7", "10.0.0.9:7");

    private final MemoryFiles files = new MemoryFiles();

    private BootstrapSeeds seeds() {
        return new BootstrapSeeds(files, DIRECTORY);
    }

    @Test
    void storedSeedsTakePrecedenceOverLaterSettings() throws StoreException {
        assertEquals(FIRST_SEEDS, seeds().loadOrStore(FIRST_SEEDS, true));
        assertEquals(FIRST_SEEDS, seeds().loadOrStore(LATER_SEEDS, true));
        assertEquals(FIRST_SEEDS, seeds().loadOrStore(LATER_SEEDS, false));
    }

    @Test
    void storedSeedsSurviveAPowerLossRightAfterTheWrite() throws StoreException {
        seeds().loadOrStore(FIRST_SEEDS, true);
        files.losePower(MemoryFiles.Unsynced.LOST, new SplittableRandom(1));
        assertEquals(FIRST_SEEDS, seeds().loadOrStore(LATER_SEEDS, false));
    }

    /** A disk that is empty at a later start has an identity outside the first acceptors, so any seeds are valid. */
    @Test
    void aLaterStartStoresNothing() throws StoreException {
        assertEquals(LATER_SEEDS, seeds().loadOrStore(LATER_SEEDS, false));
        assertEquals(FIRST_SEEDS, seeds().loadOrStore(FIRST_SEEDS, false));
    }

    @Test
    void failsIfTheDiskRejectsTheWrite() {
        files.setFull(true);
        assertThrows(StoreException.class, () -> seeds().loadOrStore(FIRST_SEEDS, true));
    }
}
