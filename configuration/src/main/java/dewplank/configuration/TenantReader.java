package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/** Parses and validates one tenant by itself. Its errors contain no access key. */
final class TenantReader {
    /** The field of a tenant's access keys. */
    static final String ACCESS_KEYS = "access_keys";

    private static final String PRIORITY = "priority";

    private final JsonObjectReader fields;

    private TenantReader(JsonObjectReader fields) {
        this.fields = fields;
    }

    /** Reads the tenant with this name from an object. */
    static Tenant read(String name, JsonObject object) throws InvalidConfigurationException {
        return new TenantReader(new JsonObjectReader(object, NamedItem.TENANTS, name)).readTenant(name);
    }

    private Tenant readTenant(String name) throws InvalidConfigurationException {
        if (!isHeaderValue(name)) {
            throw fields.error(Reason.BAD_TENANT_NAME, "name", "can't be sent in a header field");
        }
        return new Tenant(
                name,
                readKeys(),
                readPriority(),
                fields.doubleValue("rate_per_s", 0, 0),
                fields.doubleValue("burst_size", 0, 0));
    }

    /** The name is sent to servers in a header field: it is visible ASCII, with spaces only between words. */
    private static boolean isHeaderValue(String name) {
        return name.equals(name.strip()) && name.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private OptionalInt readPriority() throws InvalidConfigurationException {
        return fields.has(PRIORITY) ? OptionalInt.of(fields.intValue(PRIORITY, 0, 0)) : OptionalInt.empty();
    }

    private List<AccessKeyDigest> readKeys() throws InvalidConfigurationException {
        List<AccessKeyDigest> keys = new ArrayList<>();
        for (JsonValue value : fields.elements(ACCESS_KEYS)) {
            if (!(value instanceof JsonString key)) {
                throw fields.error(Reason.WRONG_TYPE, ACCESS_KEYS, "holds something besides strings");
            }
            if (key.text().isEmpty()) {
                throw fields.error(Reason.EMPTY_KEY, ACCESS_KEYS, "holds an empty key");
            }
            keys.add(AccessKeyDigest.of(key.text()));
        }
        return keys;
    }
}
