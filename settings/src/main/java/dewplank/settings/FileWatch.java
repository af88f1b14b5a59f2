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
    private State read;
    private State seen;

    /** What the file is now counts as read: make it first and read the file then, lest a change between be missed. */
    public FileWatch(Path file) {
        this.file = file;
        reading();
    }

    /** The file is about to be read on other grounds: what it is now is no change any more. */
    public void reading() {
        read = state();
        seen = read;
    }

    /** Whether the file has changed since it was read, and is whole by now. It then counts as read. */
    public boolean look() {
        State now = state();
        boolean rests = now != null && now.equals(seen);
        seen = now;
        if (!rests || now.equals(read)) {
            return false;
        }
        read = now;
        return true;
    }

    private State state() {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return a.isRegularFile() ? new State(a.lastModifiedTime(), a.size(), a.fileKey()) : null;
        } catch (IOException e) { // missing, or out of reach for now: what was read stays
            return null;
        }
    }
}
