package dewplank.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewplank.store.FounderIdentities.StoredIdentities;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

class FounderIdentitiesTest {
    private static final Path DIRECTORY = Path.of("data");
    private static final StoredIdentities STORED = new StoredIdentities(
            1, Map.of("10.0.0.1:7660", "memory:founder@10.0.0.1:7660#1f", "10.0.0.2:7660", "memory:x#2"));

    private final MemoryFiles files = new MemoryFiles();

    private FounderIdentities identities() {
        return new FounderIdentities(files, DIRECTORY);
    }

    @Test
    void anEmptyDiskHasNoIdentities() {
        assertEquals(StoredIdentities.NONE, identities().load());
    }

    @Test
    void storedIdentitiesSurviveAPowerLossRightAfterTheWrite() throws StoreException {
        identities().store(STORED);
        files.losePower(MemoryFiles.Unsynced.LOST, new SplittableRandom(1));
        assertEquals(STORED, identities().load());
        identities().store(StoredIdentities.NONE);
        assertEquals(StoredIdentities.NONE, identities().load());
    }

    @Test
    void aDiskThatRejectsTheWriteKeepsTheOldContent() throws StoreException {
        identities().store(STORED);
        files.setFull(true);
        assertThrows(StoreException.class, () -> identities().store(StoredIdentities.NONE));
        assertEquals(STORED, identities().load());
    }

    /** The format on disk, which later releases must be able to read. */
    @Test
    void readsTheFormatOfThisRelease() throws IOException {
        byte[] content = "2\n10.0.0.1:7660 memory:founder@10.0.0.1:7660#1f".getBytes(StandardCharsets.UTF_8);
        CRC32 crc = new CRC32();
        crc.update(content);
        try (StoreFile file = files.open(DIRECTORY.resolve("founder-identities"))) {
            ByteBuffer framed = ByteBuffer.allocate(Long.BYTES + content.length);
            file.write(framed.putLong(crc.getValue()).put(content).flip(), 0);
        }
        StoredIdentities expected = new StoredIdentities(2, Map.of("10.0.0.1:7660", "memory:founder@10.0.0.1:7660#1f"));
        assertEquals(expected, identities().load());
    }
}
