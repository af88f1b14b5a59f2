package dewplank.client;

import dewplank.configuration.AccessKeyDigest;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Guards against sending back what {@code fleet get} printed with fingerprints in the place of access keys: control
 * planes would take these for the tenants' keys, and all clients' keys would be revoked. Pure.
 */
final class RedactedFiles {
    private static final String TENANTS = "tenants";
    private static final String ACCESS_KEYS = "access_keys";

    private RedactedFiles() {}

    /**
     * Checks a complete configuration or a patch.
     *
     * @throws InvalidInputException if it holds a fingerprint as an access key
     */
    static void requireWholeKeys(byte[] file) {
        Map<String, Object> fields = fields(file);
        requireWholeKeys(fields.get(TENANTS));
        if (fields.get("upsert") instanceof Map<?, ?> items) {
            requireWholeKeys(items.get(TENANTS));
        }
    }

    /** None where it can't be read, which the configuration's own reader reports. */
    private static Map<String, Object> fields(byte[] file) {
        try {
            return Json.object(new String(file, StandardCharsets.UTF_8));
        } catch (InvalidInputException unreadable) {
            return Map.of();
        }
    }

    private static void requireWholeKeys(Object tenants) {
        if (!(tenants instanceof List<?> list)) {
            return;
        }
        for (Object tenant : list) {
            if (tenant instanceof Map<?, ?> fields && holdsFingerprint(fields.get(ACCESS_KEYS))) {
                throw InvalidInputException.of(
                        ResultCode.INVALID_CONFIGURATION,
                        TENANTS + "[" + fields.get("name") + "]." + ACCESS_KEYS
                                + ": holds a fingerprint instead of a key; fleet get --json --show-keys prints keys");
            }
        }
    }

    private static boolean holdsFingerprint(Object keys) {
        return keys instanceof List<?> list
                && list.stream().anyMatch(key -> key instanceof String text && AccessKeyDigest.isFingerprint(text));
    }
}
