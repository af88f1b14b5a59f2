package dewplank.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Detects by a file's attributes that it has changed, for programs that get no signal when it does.
 *
 * <p>The caller polls at a coarse, even interval; a poll is one system call. A change is reported once two polls in a
 * row saw the same attributes, so that a file being written is not read halfway. Modification time, size and file key
 * are compared for difference, not order: a file that was put back may be older. Links are followed. A missing file, or
 * one that is not regular (a pipe), never counts as changed. Confined to one thread; throws nothing.
 */
public final class FileWatch {
    private record State(FileTime modified, long size, Object key) {}

    private final Path file;
    private State readState;
    private State polledState;

    /**
     * Takes the file's present state as read. Create the watch before reading the file, or a change between is missed.
     */
    public FileWatch(Path file) {
        this.file = file;
        markRead();
    }

    /** Takes the present state as read, when the file is about to be read for another reason. */
    public void markRead() {
        readState = currentState();
        polledState = readState;
    }

    /** Whether the file has changed since it was read and is stable; if so it counts as read from now on. */
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
        } catch (IOException e) { // missing or unreachable for now: the last state stays
            return null;
        }
    }
}
