package dewplank.store;

import java.io.IOException;
import java.nio.file.Path;

/** The files a store needs: no links, no locks, no mappings. */
public interface StoreFiles {
    /** Whether there is such a file. */
    boolean exists(Path file);

    /** Opens a file to read and write, creating it when missing. */
    StoreFile open(Path file) throws IOException;

    /** Gives a file another name, in place of whatever has it; it lasts once the directory is synced. */
    void rename(Path from, Path to) throws IOException;

    /** Removes a file if it is there. */
    void delete(Path file) throws IOException;

    /** Makes renamed and removed names of this directory last. */
    void syncDirectory(Path directory) throws IOException;
}
