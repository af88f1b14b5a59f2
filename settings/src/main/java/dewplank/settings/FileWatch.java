package dewplank.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Detects changes of a file by its attributes, for programs that receive no signal when the file changes.
 *
 * <p>The caller polls at a regular, coarse interval; a poll is one system call. A change is reported when two
 * consecutive polls return the same attributes, so that a partly written file is not read. Modification time, size and
 * file key are compared for equality, not order, because a restored file may be older. Symbolic links are followed. A
 * file that is missing or not regular, such as a pipe, is never reported as changed. Confined to one thread; throws no
 * exceptions.
 */
public final class FileWatch {
    private record State(FileTime modified, long size, Object key) {}

    private final Path file;
    private State readState;
    private State polledState;

    /**
     * Creates a watch that treats the file's current state as read. Create it before reading the file: a change between
     * the two would otherwise be missed.
     */
    public FileWatch(Path file) {
        this.file = file;
        markRead();
    }

    /** Treats the current state as read; to be called before the file is read for another reason. */
    public void markRead() {
        readState = currentState();
        polledState = readState;
    }

    /** Returns whether the file has changed since it was read and is stable; if so, the new state counts as read. */
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
        } catch (IOException e) { // missing or temporarily inaccessible: not reported as a change
            return null;
        }
    }
}
