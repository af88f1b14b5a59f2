package dewplank.controlplane;

import dewplank.store.StoreException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the data directory if it is missing: at once at the first start of the fleet, otherwise only after a wait,
 * because a file system may be mounted late, whose state must not be replaced by that of an empty disk. Used by one
 * thread at a time.
 */
final class DataDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(DataDirectory.class);
    /** How long a missing directory is waited for before it counts as an empty disk. */
    private static final long MOUNT_WAIT_S = 10;

    private final Path directory;
    private final long createdAfterNanos;

    DataDirectory(Path directory) {
        this.directory = directory;
        this.createdAfterNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOUNT_WAIT_S);
    }

    /**
     * Creates the directory if it is missing and may be created.
     *
     * @param firstStart whether the fleet starts for the first time
     * @throws StoreException if there is no directory that this process can write to
     */
    void prepare(boolean firstStart) throws StoreException {
        if (Files.notExists(directory)) {
            if (!firstStart && System.nanoTime() - createdAfterNanos < 0) {
                throw new StoreException("data_directory does not exist: " + directory);
            }
            create();
        }
        if (!Files.isWritable(directory)) {
            throw new StoreException("data_directory can't be written to: " + directory);
        }
    }

    private void create() throws StoreException {
        try {
            Files.createDirectories(directory);
            LOG.info("data directory created path={}", directory);
        } catch (IOException e) {
            throw new StoreException("data_directory can't be created: " + directory, e);
        }
    }
}
