package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.DeflateCodec;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The most recent configurations that the register has chosen, and the encoded updates from each of them to the newest.
 *
 * <p>Each update is encoded once, regardless of the number of data planes that need it. Must be used on the loop's
 * thread only.
 */
final class ConfigurationHistory {
    /** Maximum number of stored versions. A data plane with an older version receives the full configuration. */
    private static final int MAX_VERSIONS = 8;
    /** Maximum number of routes of all stored versions but the last two, since routes take most of the memory. */
    private static final int MAX_STORED_ROUTES = 8_000;

    private static final int MIN_VERSIONS = 2;

    /**
     * A compressed update, ready to be sent.
     *
     * @param baseVersion the version to which the delta applies; 0 for a full configuration
     */
    record EncodedUpdate(byte[] bytes, long baseVersion) {}

    private final ArrayDeque<Configuration> versions = new ArrayDeque<>();
    private final Map<Long, EncodedUpdate> encoded = new HashMap<>();

    /** The newest configuration; null if none has been chosen yet. */
    Configuration newest() {
        return versions.peekLast();
    }

    /** The version of the newest configuration; 0 if none has been chosen yet. */
    long version() {
        return versions.isEmpty() ? 0 : newest().version();
    }

    /**
     * Adds a configuration that the register has chosen.
     *
     * @param configuration null if the register has none yet
     * @return whether the configuration was added, because it is newer than all configurations added before
     */
    boolean add(Configuration configuration) {
        if (configuration == null || configuration.version() <= version()) {
            return false;
        }
        versions.addLast(configuration);
        while (versions.size() > MAX_VERSIONS || versions.size() > MIN_VERSIONS && storedRoutes() > MAX_STORED_ROUTES) {
            versions.removeFirst();
        }
        encoded.clear();
        return true;
    }

    private int storedRoutes() {
        return versions.stream()
                .mapToInt(configuration -> configuration.routes().size())
                .sum();
    }

    /** The update from the given version, 0 for no configuration, to the newest configuration. */
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
