package dewplank.client;

import dewplank.configuration.Configuration;
import java.nio.charset.StandardCharsets;

/** How commands show the access keys of a configuration's tenants. */
public enum KeyDisplay {
    /** As fingerprints, so that keys don't leak into terminals, files or tickets. */
    FINGERPRINTS,
    /** In full, when the operator requests it. */
    WHOLE;

    /** Returns the configuration as JSON without spaces, with the keys in this representation. */
    public String json(Configuration configuration) {
        byte[] json = this == WHOLE ? configuration.json() : configuration.redactedJson();
        return new String(json, StandardCharsets.UTF_8);
    }
}
