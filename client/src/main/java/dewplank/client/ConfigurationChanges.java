package dewplank.client;

import dewplank.configuration.Configuration;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Reads, changes and tries out configurations by way of control sidecars. */
public final class ConfigurationChanges {
    private final ControlClient client;

    /** Calls through that client. */
    public ConfigurationChanges(ControlClient client) {
        this.client = client;
    }

    /** The newest configuration as it came. */
    public Answer read() throws NoAnswerException, InterruptedException {
        return client.call(ControlCall.configuration()).orRefused();
    }

    /** The newest configuration; null before the first. */
    public Configuration current() throws NoAnswerException, InterruptedException {
        Answer answer = client.call(ControlCall.configuration());
        if (answer.is(ResultCode.NO_CONFIGURATION)) {
            return null;
        }
        return parsed(answer.orRefused());
    }

    private long currentVersion() throws NoAnswerException, InterruptedException {
        Configuration current = current();
        return current == null ? 0 : current.version();
    }

    /** Puts a whole configuration on top of that version, or of the current one where it is null. */
    public Answer put(byte[] configuration, Long on) throws NoAnswerException, InterruptedException {
        return change(ControlCall.put(on == null ? currentVersion() : on, configuration));
    }

    /** Changes items on top of that version, or of the current one where it is null. */
    public Answer patch(byte[] patch, Long on) throws NoAnswerException, InterruptedException {
        return change(ControlCall.patch(on == null ? currentVersion() : on, patch));
    }

    private Answer change(ControlCall call) throws NoAnswerException, InterruptedException {
        try {
            return client.call(call);
        } catch (NoAnswerException e) {
            throw e.ofChange(call.on());
        }
    }

    /** The configuration that a control sidecar gave. */
    public static Configuration parsed(Answer answer) {
        try {
            return Configuration.parse(answer.body());
        } catch (InvalidConfigurationException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE, "the configuration of " + answer.address() + ": " + e.getMessage());
        }
    }

    /** The configuration that a file leads to: itself, or with {@code upsert} or {@code remove} one on top of it. */
    public static Configuration changed(Configuration current, byte[] file) {
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
            return false; // the configuration's own reader says what is wrong
        }
    }
}
