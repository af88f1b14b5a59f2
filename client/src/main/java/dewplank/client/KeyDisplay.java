package dewplank.client;

import dewplank.configuration.Configuration;
import java.nio.charset.StandardCharsets;

/** How commands show the access keys of a configuration's tenants. */
public enum KeyDisplay {
    /** Shows fingerprints of the keys, so that keys don't leak into terminals, files or tickets. */
    FINGERPRINTS,
    /** Shows the keys in full, at the request of the operator. */
    WHOLE;

    /** Returns the configuration as JSON without spaces, with the keys in this representation. */
    public String json(Configuration configuration) {
        byte[] json = this == WHOLE ? configuration.json() : configuration.redactedJson();
        return new String(json, StandardCharsets.UTF_8);
    }
}
