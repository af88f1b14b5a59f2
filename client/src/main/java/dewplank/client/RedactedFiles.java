package dewplank.client;

import dewplank.configuration.AccessKeyDigest;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Rejects files that {@code fleet get} printed with fingerprints instead of access keys. Control planes would use the
 * fingerprints as the tenants' keys, which would revoke the keys of all clients. Stateless.
 */
final class RedactedFiles {
    private static final String TENANTS = "tenants";
    private static final String ACCESS_KEYS = "access_keys";

    private RedactedFiles() {}

    /**
     * Checks a complete configuration or a patch.
     *
     * @throws InvalidInputException if it contains a fingerprint as an access key
     */
    static void requireNoFingerprints(byte[] file) {
        Map<String, Object> fields = fields(file);
        requireNoFingerprints(fields.get(TENANTS));
        if (fields.get("upsert") instanceof Map<?, ?> items) {
            requireNoFingerprints(items.get(TENANTS));
        }
    }

    /**
     * Returns the file's fields, or none if it can't be parsed; the error is reported when the file is parsed as a
     * configuration.
     */
    private static Map<String, Object> fields(byte[] file) {
        try {
            return Json.object(new String(file, StandardCharsets.UTF_8));
        } catch (InvalidInputException unreadable) {
            return Map.of();
        }
    }

    private static void requireNoFingerprints(Object tenants) {
        if (!(tenants instanceof List<?> list)) {
            return;
        }
        for (Object tenant : list) {
            if (tenant instanceof Map<?, ?> fields && containsFingerprint(fields.get(ACCESS_KEYS))) {
                throw InvalidInputException.of(
                        ResultCode.INVALID_CONFIGURATION,
                        TENANTS + "[" + fields.get("name") + "]." + ACCESS_KEYS
                                + ": has a fingerprint instead of a key; fleet get --json --show-keys prints keys");
            }
        }
    }

    private static boolean containsFingerprint(Object keys) {
        return keys instanceof List<?> list
                && list.stream().anyMatch(key -> key instanceof String text && AccessKeyDigest.isFingerprint(text));
    }
}
