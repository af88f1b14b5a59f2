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

/** Tests which file changes {@link FileWatch} reports. Modification times are set, so that no test has to wait. */
public class FileWatchTest {
    private static final long MODIFIED_AT_MS = 1_700_000_000_000L;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Path file;
    private FileWatch watch;

    @Before
    public void createFileAndWatch() throws IOException {
        file = folder.getRoot().toPath().resolve("settings.json");
        write(file, "first", MODIFIED_AT_MS);
        watch = new FileWatch(file);
    }

    private static void write(Path to, String text, long atMs) throws IOException {
        Files.writeString(to, text);
        Files.setLastModifiedTime(to, FileTime.fromMillis(atMs));
    }

    private void assertReportedOnceAtTheSecondPoll() {
        assertFalse("at the first poll the file may still be in the process of being written", watch.pollChanged());
        assertTrue(watch.pollChanged());
        assertFalse("the change is reported again", watch.pollChanged());
    }

    @Test
    public void anUnchangedFileIsNotReported() {
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
    }

    @Test
    public void aChangedModificationTimeIsReported() throws IOException {
        write(file, "other", MODIFIED_AT_MS + 5);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void anEarlierModificationTimeIsReported() throws IOException {
        write(file, "other", MODIFIED_AT_MS - 86_400_000);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void aChangedSizeAtTheSameTimeIsReported() throws IOException {
        write(file, "longer by some", MODIFIED_AT_MS);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void aReplacementWithTheSameTimeAndSizeIsReported() throws IOException {
        Path next = file.resolveSibling("next");
        write(next, "other", MODIFIED_AT_MS);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void aLinkThatIsChangedToAnotherFileIsReported() throws IOException {
        Path link = Files.createSymbolicLink(file.resolveSibling("link"), file);
        watch = new FileWatch(link);
        assertFalse(watch.pollChanged());
        Files.delete(link);
        Path other = file.resolveSibling("other");
        write(other, "other", MODIFIED_AT_MS);
        Files.createSymbolicLink(link, other);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void aFileIsNotReportedWhileItIsWritten() throws IOException {
        for (int length = 1; length <= 5; length++) {
            write(file, "x".repeat(length), MODIFIED_AT_MS + length);
            assertFalse(watch.pollChanged());
        }
        assertTrue(watch.pollChanged());
    }

    @Test
    public void aChangeMarkedAsReadIsNotReported() throws IOException {
        write(file, "other", MODIFIED_AT_MS + 5);
        assertFalse(watch.pollChanged());
        watch.markRead();
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
    }

    @Test
    public void aChangeAfterTheReadIsReported() throws IOException {
        write(file, "other", MODIFIED_AT_MS + 5);
        watch.markRead();
        write(file, "third", MODIFIED_AT_MS + 6);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void aMissingFileIsNotReportedButItsReplacementIs() throws IOException {
        Files.delete(file);
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
        write(file, "other", MODIFIED_AT_MS + 5);
        assertReportedOnceAtTheSecondPoll();
    }

    @Test
    public void aFileThatWasMissingAtTheStartIsReportedOnceItExists() throws IOException {
        Path later = file.resolveSibling("later");
        watch = new FileWatch(later);
        assertFalse(watch.pollChanged());
        write(later, "first", MODIFIED_AT_MS);
        assertReportedOnceAtTheSecondPoll();
    }

    /** Reading a pipe would block until a writer opens it. */
    @Test
    public void aPipeIsNeverReported() throws Exception {
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        assertFalse(watch.pollChanged());
        assertFalse(watch.pollChanged());
    }
}
