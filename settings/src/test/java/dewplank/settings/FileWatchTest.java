package dewplank.settings;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Times are set by hand: nothing here waits for one to pass. */
public class FileWatchTest {
    private static final long AT_MS = 1_700_000_000_000L;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Path file;
    private FileWatch watch;

    @Before
    public void write() throws IOException {
        file = folder.getRoot().toPath().resolve("settings.json");
        write(file, "first", AT_MS);
        watch = new FileWatch(file);
    }

    private static void write(Path to, String text, long atMs) throws IOException {
        Files.writeString(to, text);
        Files.setLastModifiedTime(to, FileTime.fromMillis(atMs));
    }

    private void assertToldOnceAtTheSecondLook() {
        assertFalse("at the first look it may still be written", watch.pollChanged());
        assertTrue(watch.pollChanged());
        assertFalse("told again", watch.pollChanged());
    }

    @Test
    public void aFileThatStaysIsNoChange() {
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
    }

    @Test
    public void anotherTimeIsTold() throws IOException {
        write(file, "other", AT_MS + 5);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void anOlderTimeIsToldToo() throws IOException {
        write(file, "other", AT_MS - 86_400_000);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void anotherSizeAtTheSameTimeIsTold() throws IOException {
        write(file, "longer by some", AT_MS);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void anotherFileOfTheSameTimeAndSizeInItsPlaceIsTold() throws IOException {
        Path next = file.resolveSibling("next");
        write(next, "other", AT_MS);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void aLinkThatPointsElsewhereIsTold() throws IOException {
        Path link = Files.createSymbolicLink(file.resolveSibling("link"), file);
        watch = new FileWatch(link);
        assertFalse(watch.pollChanged());
        Files.delete(link);
        Path other = file.resolveSibling("other");
        write(other, "other", AT_MS);
        Files.createSymbolicLink(link, other);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void aFileIsNotToldWhileItIsWritten() throws IOException {
        for (int i = 1; i <= 5; i++) {
            write(file, "x".repeat(i), AT_MS + i);
            assertFalse(watch.pollChanged());
        }
        assertTrue(watch.pollChanged());
    }

    @Test
    public void whatWasReadMeanwhileIsNotTold() throws IOException {
        write(file, "other", AT_MS + 5);
        assertFalse(watch.pollChanged());
        watch.markRead();
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
    }

    @Test
    public void whatChangedSinceTheReadingIsTold() throws IOException {
        write(file, "other", AT_MS + 5);
        watch.markRead();
        write(file, "third", AT_MS + 6);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void aMissingFileIsNoChangeAndItsReturnIsOneIfItIsAnother() throws IOException {
        Files.delete(file);
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
        write(file, "other", AT_MS + 5);
        assertToldOnceAtTheSecondLook();
    }

    @Test
    public void aFileThatWasMissingFromTheStartIsToldOnceItIsThere() throws IOException {
        Path later = file.resolveSibling("later");
        watch = new FileWatch(later);
        assertFalse(watch.pollChanged());
        write(later, "first", AT_MS);
        assertToldOnceAtTheSecondLook();
    }

    /** Reading a pipe would wait for its writer for good. */
    @Test
    public void aPipeIsNeverAChange() throws Exception {
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
    }
}
