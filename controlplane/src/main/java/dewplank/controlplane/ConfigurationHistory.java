package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.message.Deflated;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The newest configurations known to be chosen, and the updates that lead to the last of them. */
final class ConfigurationHistory {
    /** Versions kept to work out differences from; whoever holds an older one gets the whole. */
    private static final int MOST_KEPT = 8;

    /** An update as it is sent. */
    record Encoded(byte[] bytes, long baseVersion) {}

    private final ArrayDeque<Configuration> kept = new ArrayDeque<>();
    private final Map<Long, Encoded> encoded = new HashMap<>();

    Configuration newest() {
        return kept.peekLast();
    }

    long version() {
        return kept.isEmpty() ? 0 : newest().version();
    }

    /** Takes a newer one; whether it is newer. */
    boolean learned(Configuration configuration) {
        if (configuration == null || configuration.version() <= version()) {
            return false;
        }
        kept.addLast(configuration);
        if (kept.size() > MOST_KEPT) {
            kept.removeFirst();
        }
        encoded.clear();
        return true;
    }

    /** The newest configuration for one who holds that version; 0: none. */
    Encoded updateFrom(long heldVersion) {
        return encoded.computeIfAbsent(heldVersion, this::encode);
    }

    private Encoded encode(long heldVersion) {
        for (Configuration from : kept) {
            if (from.version() == heldVersion) {
                return new Encoded(Deflated.of(ConfigurationDelta.between(from, newest())), heldVersion);
            }
        }
        return new Encoded(Deflated.of(newest().json()), 0);
    }
}
