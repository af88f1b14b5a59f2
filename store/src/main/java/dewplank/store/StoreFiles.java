package dewplank.store;

import java.io.IOException;
import java.nio.file.Path;

/**
 * The file operations that the store needs: no links, locks or mappings. Tests and simulations implement it with disks
 * that fail, tear writes and lose power; {@link DiskFiles} is the real one.
 */
public interface StoreFiles {
    /** Whether a file of this name exists. */
    boolean exists(Path file);

    /** Opens a file for reading and writing, and creates it if missing. Its name is durable once its directory is. */
    StoreFile open(Path file) throws IOException;

    /** Renames a file atomically and replaces any that has the name; durable once the directory is synced. */
    void rename(Path from, Path to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;

    /** Makes created, renamed and deleted names of this directory durable. */
    void syncDirectory(Path directory) throws IOException;
}
