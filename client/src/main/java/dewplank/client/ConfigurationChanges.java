package dewplank.client;

import dewplank.configuration.Configuration;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Reads, changes and previews configurations through the operators' API. */
public final class ConfigurationChanges {
    private final ControlClient client;

    /** Creates an instance that uses this client for its calls. */
    public ConfigurationChanges(ControlClient client) {
        this.client = client;
    }

    /** Returns the response with the current configuration. */
    public ControlResponse read() throws NoResponseException, InterruptedException {
        return client.call(ControlCall.configuration()).requireSuccess();
    }

    /** Returns the current configuration; null if none has been applied yet. */
    public Configuration current() throws NoResponseException, InterruptedException {
        ControlResponse response = client.call(ControlCall.configuration());
        if (response.hasResult(ResultCode.NO_CONFIGURATION)) {
            return null;
        }
        return parse(response.requireSuccess());
    }

    private long currentVersion() throws NoResponseException, InterruptedException {
        Configuration current = current();
        return current == null ? 0 : current.version();
    }

    /** Replaces the configuration with the expected version by a complete one; null expects the current version. */
    public ControlResponse put(byte[] configuration, Long expectedVersion)
            throws NoResponseException, InterruptedException {
        return change(ControlCall.put(expectedVersion == null ? currentVersion() : expectedVersion, configuration));
    }

    /** Applies a patch to the configuration with the expected version; null expects the current version. */
    public ControlResponse patch(byte[] patch, Long expectedVersion) throws NoResponseException, InterruptedException {
        return change(ControlCall.patch(expectedVersion == null ? currentVersion() : expectedVersion, patch));
    }

    private ControlResponse change(ControlCall call) throws NoResponseException, InterruptedException {
        RedactedFiles.requireNoFingerprints(call.body());
        try {
            return client.call(call);
        } catch (NoResponseException e) {
            throw e.forChange(call.expectedVersion());
        }
    }

    /** Parses the configuration that a control plane sent. */
    public static Configuration parse(ControlResponse response) {
        try {
            return Configuration.parse(response.body());
        } catch (InvalidConfigurationException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE,
                    "the configuration from " + response.address() + ": " + e.getMessage());
        }
    }

    /**
     * Returns the configuration that results from applying a file: the current configuration with the file's patch if
     * the file has {@code upsert} or {@code remove}, and the file itself otherwise.
     *
     * @throws InvalidInputException if the result is not valid, or the file has fingerprints instead of access keys
     */
    public static Configuration apply(Configuration current, byte[] file) {
        RedactedFiles.requireNoFingerprints(file);
        try {
            if (!isPatch(file)) {
                return Configuration.parse(file);
            }
            if (current == null) {
                throw InvalidInputException.of(ResultCode.NO_CONFIGURATION, "there is no configuration to change");
            }
            return current.patched(file);
        } catch (InvalidConfigurationException e) {
            throw InvalidInputException.of(ResultCode.INVALID_CONFIGURATION, e.getMessage());
        }
    }

    private static boolean isPatch(byte[] file) {
        try {
            Map<String, Object> fields = Json.object(new String(file, StandardCharsets.UTF_8));
            return fields.containsKey("upsert") || fields.containsKey("remove");
        } catch (InvalidInputException unreadable) {
            return false; // The error is reported when the file is parsed as a configuration.
        }
    }
}
