package dewplank.store;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The seed addresses with which the fleet was bootstrapped, as listed in the settings at the first start.
 *
 * <p>They are the register's first acceptor set. The settings may list other seeds later, while no value is chosen yet.
 * Two processes that used different seeds as the first acceptors could then each obtain a majority of their own set.
 * Hence the first seeds are stored and take precedence over the settings. Called once, at the start of a process,
 * before its event loop runs.
 */
public final class BootstrapSeeds {
    /** The file's name in the data directory, which earlier releases use too. */
    private static final String FILE_NAME = "founders";

    private static final String SEPARATOR = "\n";

    private final ChecksummedFile file;

    /** Uses the file in a data directory; this constructor does not access the disk. */
    public BootstrapSeeds(StoreFiles files, Path directory) {
        file = new ChecksummedFile(files, directory, FILE_NAME);
    }

    /**
     * Returns the stored seeds. If there are none, an initial start stores and syncs the configured seeds before it
     * returns them. Must be called before any other write that makes the disk appear used.
     *
     * @param configuredSeeds the seeds of the current settings; returned unchanged if none are stored
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
