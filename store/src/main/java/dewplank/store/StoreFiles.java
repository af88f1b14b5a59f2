package dewplank.store;

import java.io.IOException;
import java.nio.file.Path;

/**
 * The file operations that the store needs: no links, locks or mappings. Tests and simulations implement it with disks
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

    /** Makes the creation, renaming and deletion of files in this directory durable. */
    void syncDirectory(Path directory) throws IOException;
}
