package dewplank.store;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The addresses of the acceptors that the fleet began with, as the settings named them at the first start. Settings may
 * name other seeds later, at a time when nothing is chosen yet: two processes that took different ones for the first
 * acceptors could each gather a majority of theirs.
 */
public final class BootstrapSeeds {
    private static final String NAME = "founders";
    private static final String SEPARATOR = "\n";

    private final ChecksummedFile file;

    public BootstrapSeeds(StoreFiles files, Path directory) {
        file = new ChecksummedFile(files, directory, NAME);
    }

    /**
     * The addresses kept on the disk. At the first start those of the settings are written, synced and given back; to
     * be called before anything else makes the disk look used.
     *
     * @param fromSettings what the settings name now: also the answer for a disk of a release that kept none
     * @param initialStart whether the whole system starts for the first time
     */
    public List<String> load(List<String> fromSettings, boolean initialStart) throws StoreException {
        Optional<byte[]> kept = file.read();
        if (kept.isPresent()) {
            return List.of(new String(kept.get(), StandardCharsets.UTF_8).split(SEPARATOR));
        }
        if (initialStart && !fromSettings.isEmpty()) {
            file.replace(String.join(SEPARATOR, fromSettings).getBytes(StandardCharsets.UTF_8));
        }
        return fromSettings;
    }
}
