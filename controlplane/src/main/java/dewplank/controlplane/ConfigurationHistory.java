package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.DeflateCodec;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The last configurations that the register has chosen, and the encoded updates that lead from each to the newest.
 *
 * <p>Updates are encoded once per base version, however many data planes need them. On the loop's thread only.
 */
final class ConfigurationHistory {
    /** Versions to compute a difference from; a data plane with an older one gets the full text. */
    private static final int MAX_VERSIONS = 8;

    /**
     * An update as it is sent, compressed.
     *
     * @param baseVersion the version that it is a difference to; 0 for a full text
     */
    record EncodedUpdate(byte[] bytes, long baseVersion) {}

    private final ArrayDeque<Configuration> versions = new ArrayDeque<>();
    private final Map<Long, EncodedUpdate> encoded = new HashMap<>();

    /** Null before the first. */
    Configuration newest() {
        return versions.peekLast();
    }

    /** Version of the newest; 0 before the first. */
    long version() {
        return versions.isEmpty() ? 0 : newest().version();
    }

    /**
     * Adds a configuration that was chosen.
     *
     * @param configuration null where the register has none yet
     * @return whether it was newer than the newest here, and was added
     */
    boolean add(Configuration configuration) {
        if (configuration == null || configuration.version() <= version()) {
            return false;
        }
        versions.addLast(configuration);
        if (versions.size() > MAX_VERSIONS) {
            versions.removeFirst();
        }
        encoded.clear();
        return true;
    }

    /** The update to the newest configuration from that version; 0 for none. */
    EncodedUpdate updateFrom(long baseVersion) {
        return encoded.computeIfAbsent(baseVersion, this::encode);
    }

    private EncodedUpdate encode(long baseVersion) {
        for (Configuration from : versions) {
            if (from.version() == baseVersion) {
                return new EncodedUpdate(DeflateCodec.deflate(ConfigurationDelta.between(from, newest())), baseVersion);
            }
        }
        return new EncodedUpdate(DeflateCodec.deflate(newest().json()), 0);
    }
}
