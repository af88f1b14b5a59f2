package dewplank.client;

import dewplank.configuration.Configuration;
import java.nio.charset.StandardCharsets;

/** How commands show the access keys of a configuration's tenants. */
public enum KeyDisplay {
    /** By their fingerprints, so that no terminal, file or ticket gets to hold a key by the way. */
    FINGERPRINTS,
    /** As they are, for who asked for it. */
    WHOLE;

    /** The configuration as JSON without spaces, its keys shown in this way. */
    public String json(Configuration configuration) {
        byte[] json = this == WHOLE ? configuration.json() : configuration.redactedJson();
        return new String(json, StandardCharsets.UTF_8);
    }
}
