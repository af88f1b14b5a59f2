package dewplank.configuration;

import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import dewplank.configuration.NamedItem.TenantItem;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes items of a configuration with each access key replaced by its fingerprint. Pure. */
final class AccessKeyRedaction {
    private AccessKeyRedaction() {}

    /** The item's JSON text without spaces, with fingerprints instead of access keys. */
    static byte[] json(NamedItem item) {
        if (!(item instanceof TenantItem tenant)) {
            return item.json();
        }
        Map<String, JsonValue> members =
                new LinkedHashMap<>(parse(tenant.json()).members());
        if (members.get(TenantReader.ACCESS_KEYS) instanceof JsonArray) {
            members.put(TenantReader.ACCESS_KEYS, fingerprints(tenant.tenant().keys()));
        }
        return JsonTextWriter.write(new JsonObject(members));
    }

    private static JsonObject parse(byte[] json) {
        try {
            return JsonTextReader.readObject(json);
        } catch (InvalidConfigurationException impossible) { // the text was written from a JSON object
            throw new IllegalStateException(impossible);
        }
    }

    private static JsonArray fingerprints(List<AccessKeyDigest> keys) {
        List<JsonValue> texts = keys.stream()
                .<JsonValue>map(key -> new JsonString(key.fingerprint()))
                .toList();
        return new JsonArray(texts);
    }
}
