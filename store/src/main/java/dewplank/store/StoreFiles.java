package dewplank.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The file operations that the store needs: no links or mappings. Tests and simulations implement it with disks
 * that fail, tear writes and lose power; {@link DiskFiles} is the implementation for real disks.
 */
public interface StoreFiles {
    /** Whether a file of this name exists. */
    boolean exists(Path file);

    /** Opens a file to read and write; creates a missing file, whose name is durable once its directory is synced. */
    StoreFile open(Path file) throws IOException;

    /** Renames a file atomically and replaces any file of that name; durable once the directory is synced. */
    void rename(Path from, Path to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;

    /**
     * Locks a file, which is created if it is missing, until the result is closed or the process ends. By default this
     * does nothing, for files that only one process can reach.
     *
     * @throws IOException if another process holds the lock, or the file can't be created
     */
    default Closeable lock(Path file) throws IOException {
        return () -> {};
    }

    /** Makes the creation, renaming and deletion of files in this directory durable. */
    void syncDirectory(Path directory) throws IOException;
}
