package dewplank.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Tells by a file's attributes that it has to be read again, for programs whose file may change without a word.
 * The caller says when to look, at a coarse and even pace; a look is one call to the system. A change is told once
 * the file has been the same for two looks in a row, so that one that is being written is not read halfway.
 *
 * <p>Its time, its size and which file it is count, each by being other than before: a file put back may well be older.
 * Links are followed. A file that is missing, or is no plain one (a pipe, say), is never a change.
 */
public final class FileWatch {
    private record State(FileTime modified, long size, Object key) {}

    private final Path file;
    private State readState;
    private State polledState;

    /** What the file is now counts as read: make it first and read the file then, lest a change between be missed. */
    public FileWatch(Path file) {
        this.file = file;
        markRead();
    }

    /** The file is about to be read on other grounds: what it is now is no change any more. */
    public void markRead() {
        readState = currentState();
        polledState = readState;
    }

    /** Whether the file has changed since it was read, and is whole by now. It then counts as read. */
    public boolean pollChanged() {
        State now = currentState();
        boolean isStable = now != null && now.equals(polledState);
        polledState = now;
        if (!isStable || now.equals(readState)) {
            return false;
        }
        readState = now;
        return true;
    }

    private State currentState() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.isRegularFile()
                    ? new State(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey())
                    : null;
        } catch (IOException e) { // missing, or out of reach for now: what was read stays
            return null;
        }
    }
}
