package dewplank.store;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The first identity that a process received of each founder without a disk.
 *
 * <p>Such a founder has another identity in each incarnation. The first one that a process receives is stored before
 * a vote of it is counted, and is not replaced. Otherwise a process that restarts could mistake a later incarnation,
 * which has lost its votes, for the original acceptor. Loaded before the event loop runs, stored on the disk thread.
 */
public final class FounderIdentities {
    private static final String FILE_NAME = "founder-identities";
    private static final String LINE_SEPARATOR = "\n";
    private static final String FIELD_SEPARATOR = " ";

    /**
     * The content of the file.
     *
     * @param bootstrapRound how often the fleet's bootstrap was restarted because all founders had terminated
     * @param byAddress the first identity received of each founder without a disk, by its address (IP:PORT)
     */
    public record StoredIdentities(int bootstrapRound, Map<String, String> byAddress) {
        /** No identity of any founder was received. */
        public static final StoredIdentities NONE = new StoredIdentities(0, Map.of());

        public StoredIdentities {
            byAddress = Collections.unmodifiableMap(new LinkedHashMap<>(byAddress));
        }

        /** Encodes the record as the text of the file, which control planes also exchange. */
        public String encode() {
            StringBuilder text = new StringBuilder().append(bootstrapRound);
            byAddress.forEach((address, identity) -> text.append(LINE_SEPARATOR)
                    .append(address)
                    .append(FIELD_SEPARATOR)
                    .append(identity));
            return text.toString();
        }

        /** Decodes a text of {@link #encode}; empty for any other text. */
        public static Optional<StoredIdentities> decode(String text) {
            String[] lines = text.split(LINE_SEPARATOR);
            Map<String, String> byAddress = new LinkedHashMap<>();
            for (int line = 1; line < lines.length; line++) {
                int separator = lines[line].indexOf(FIELD_SEPARATOR);
                if (separator < 0) {
                    return Optional.empty();
                }
                byAddress.put(lines[line].substring(0, separator), lines[line].substring(separator + 1));
            }
            try {
                return Optional.of(new StoredIdentities(Integer.parseInt(lines[0]), byAddress));
            } catch (NumberFormatException notARound) {
                return Optional.empty();
            }
        }
    }

    private final ChecksummedFile file;

    /** Uses the file in a data directory; this constructor does not access the disk. */
    public FounderIdentities(StoreFiles files, Path directory) {
        file = new ChecksummedFile(files, directory, FILE_NAME);
    }

    /** Returns the record stored last; {@link StoredIdentities#NONE} if there is none or the file is damaged. */
    public StoredIdentities load() {
        Optional<byte[]> stored = file.read();
        return stored.flatMap(content -> StoredIdentities.decode(new String(content, StandardCharsets.UTF_8)))
                .orElse(StoredIdentities.NONE);
    }

    /**
     * Replaces the stored record; the new one is durable when this method returns.
     *
     * @throws StoreException if the disk failed; the file then has the old content, or the new one
     */
    public void store(StoredIdentities record) throws StoreException {
        file.replace(record.encode().getBytes(StandardCharsets.UTF_8));
    }
}
