package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.message.Deflated;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The newest configurations known to be chosen, and the updates that lead to the last of them. */
final class ConfigurationHistory {
    /** Versions retained to work out differences from; whoever holds an older one gets the whole. */
    private static final int MAX_VERSIONS = 8;

    /** An update as it is sent. */
    record EncodedUpdate(byte[] bytes, long baseVersion) {}

    private final ArrayDeque<Configuration> versions = new ArrayDeque<>();
    private final Map<Long, EncodedUpdate> encoded = new HashMap<>();

    Configuration newest() {
        return versions.peekLast();
    }

    long version() {
        return versions.isEmpty() ? 0 : newest().version();
    }

    /** Takes a newer one; whether it is newer. */
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

    /** The newest configuration for one who holds that version; 0: none. */
    EncodedUpdate updateFrom(long baseVersion) {
        return encoded.computeIfAbsent(baseVersion, this::encode);
    }

    private EncodedUpdate encode(long baseVersion) {
        for (Configuration from : versions) {
            if (from.version() == baseVersion) {
                return new EncodedUpdate(Deflated.of(ConfigurationDelta.between(from, newest())), baseVersion);
            }
        }
        return new EncodedUpdate(Deflated.of(newest().json()), 0);
    }
}
