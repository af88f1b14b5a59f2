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

    /** Creates one that calls through this client. */
    public ConfigurationChanges(ControlClient client) {
        this.client = client;
    }

    /** Returns the response with the current configuration. */
    public ControlResponse read() throws NoResponseException, InterruptedException {
        return client.call(ControlCall.configuration()).requireSuccess();
    }

    /** Returns the current configuration; null before the first. */
    public Configuration current() throws NoResponseException, InterruptedException {
        ControlResponse answer = client.call(ControlCall.configuration());
        if (answer.hasResult(ResultCode.NO_CONFIGURATION)) {
            return null;
        }
        return parse(answer.requireSuccess());
    }

    private long currentVersion() throws NoResponseException, InterruptedException {
        Configuration current = current();
        return current == null ? 0 : current.version();
    }

    /** Replaces the configuration of this version by a complete one; null means the current version. */
    public ControlResponse put(byte[] configuration, Long expectedVersion)
            throws NoResponseException, InterruptedException {
        return change(ControlCall.put(expectedVersion == null ? currentVersion() : expectedVersion, configuration));
    }

    /** Applies a patch of items to this version; null means the current version. */
    public ControlResponse patch(byte[] patch, Long expectedVersion) throws NoResponseException, InterruptedException {
        return change(ControlCall.patch(expectedVersion == null ? currentVersion() : expectedVersion, patch));
    }

    private ControlResponse change(ControlCall call) throws NoResponseException, InterruptedException {
        RedactedFiles.requireWholeKeys(call.body());
        try {
            return client.call(call);
        } catch (NoResponseException e) {
            throw e.forChange(call.expectedVersion());
        }
    }

    /** Parses the configuration that a control plane sent. */
    public static Configuration parse(ControlResponse answer) {
        try {
            return Configuration.parse(answer.body());
        } catch (InvalidConfigurationException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE, "the configuration of " + answer.address() + ": " + e.getMessage());
        }
    }

    /**
     * Returns the configuration that a file would lead to: the file itself, or the current one with the file's patch if
     * it has {@code upsert} or {@code remove}.
     *
     * @throws InvalidInputException if it leads to none, or holds fingerprints in the place of access keys
     */
    public static Configuration apply(Configuration current, byte[] file) {
        RedactedFiles.requireWholeKeys(file);
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
            return false; // The configuration's own reader reports what is wrong.
        }
    }
}
