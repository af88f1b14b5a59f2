package dewplank.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChecksummedFileTest {
    private static final byte[] CONTENT = {1, 2, 3};

    private final MemoryFiles files = new MemoryFiles();
    private final ChecksummedFile file = new ChecksummedFile(files, Path.of("data"), "f");

    @Test
    void readsTheContentWrittenLast() throws StoreException {
        assertEquals(Optional.empty(), file.read());
        file.replace(CONTENT);
        assertArrayEquals(CONTENT, file.read().orElseThrow());
        file.replace(new byte[0]);
        assertArrayEquals(new byte[0], file.read().orElseThrow());
    }

    @Test
    void aDamagedFileIsTreatedAsMissing() throws StoreException, IOException {
        file.replace(CONTENT);
        try (StoreFile damaged = files.open(Path.of("data").resolve("f"))) {
            damaged.write(ByteBuffer.wrap(new byte[] {9}), 9);
        }
        assertEquals(Optional.empty(), file.read());
        try (StoreFile shortened = files.open(Path.of("data").resolve("f"))) {
            shortened.truncate(7);
        }
        assertEquals(Optional.empty(), file.read());
    }

    /** A sparse file of 3 GiB, which exceeds the maximum size of an array. */
    @Test
    void aFileThatIsTooLargeIsTreatedAsDamaged(@TempDir Path directory) throws IOException {
        DiskFiles disk = new DiskFiles();
        try (StoreFile large = disk.open(directory.resolve("f"))) {
            large.write(ByteBuffer.wrap(CONTENT), 3L << 30);
        }
        assertEquals(Optional.empty(), new ChecksummedFile(disk, directory, "f").read());
    }

    @Test
    void rejectsContentThatIsTooLargeWithoutChangingTheFile() throws StoreException {
        file.replace(CONTENT);
        byte[] tooLarge = new byte[(int) ChecksummedFile.MAX_FILE_BYTES];
        StoreException failure = assertThrows(StoreException.class, () -> file.replace(tooLarge));
        assertTrue(failure.getMessage().startsWith("f is too large"), failure.getMessage());
        assertArrayEquals(CONTENT, file.read().orElseThrow());
    }
}
