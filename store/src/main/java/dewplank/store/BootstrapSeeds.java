package dewplank.store;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The seed addresses that the fleet was bootstrapped with, as the settings named them at the first start.
 *
 * <p>They are the register's first acceptor set. Settings may name other seeds later, while no value is chosen yet: two
 * processes that took different seeds for the first acceptors could each gather a majority of theirs. Hence the first
 * ones are stored and win over the settings. Called once, at the start of a process, before its event loop runs.
 */
public final class BootstrapSeeds {
    /** The file's name in the data directory; earlier releases wrote it too. */
    private static final String FILE_NAME = "founders";

    private static final String SEPARATOR = "\n";

    private final ChecksummedFile file;

    /** Names the file in a data directory; does not touch the disk. */
    public BootstrapSeeds(StoreFiles files, Path directory) {
        file = new ChecksummedFile(files, directory, FILE_NAME);
    }

    /**
     * Returns the stored seeds. Without any, an initial start stores those of the settings, synced, before it returns
     * them; it has to be called before anything else makes the disk look used.
     *
     * @param configuredSeeds the seeds of the current settings; returned as they are for a disk that has none stored
     * @param initialStart whether the fleet starts for the first time
     * @throws StoreException if the seeds of an initial start cannot be stored
     */
    public List<String> loadOrStore(List<String> configuredSeeds, boolean initialStart) throws StoreException {
        Optional<byte[]> stored = file.read();
        if (stored.isPresent()) {
            return List.of(new String(stored.get(), StandardCharsets.UTF_8).split(SEPARATOR));
        }
        if (initialStart && !configuredSeeds.isEmpty()) {
            file.replace(String.join(SEPARATOR, configuredSeeds).getBytes(StandardCharsets.UTF_8));
        }
        return configuredSeeds;
    }
}
