package dewplank;

import dewplank.client.Change;
import dewplank.client.ConfigurationChanges;
import dewplank.client.ConfigurationDifference;
import dewplank.client.ConfigurationText;
import dewplank.client.ControlResponse;
import dewplank.client.JsonValues;
import dewplank.client.KeyDisplay;
import dewplank.configuration.Configuration;
import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that read or change the configuration. */
final class ConfigurationCommands {
    private ConfigurationCommands() {}

    /** A command whose output may contain access keys. */
    abstract static class KeyDisplayCommand extends FleetCommand {
        @Option(name = "--show-keys", usage = "prints access keys as they are, instead of their fingerprints")
        private boolean showKeys;

        final KeyDisplay keys() {
            return showKeys ? KeyDisplay.WHOLE : KeyDisplay.FINGERPRINTS;
        }
    }

    /** Prints the configuration. */
    public static final class Get extends KeyDisplayCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlResponse response = new ConfigurationChanges(client()).read();
            if (json() && keys() == KeyDisplay.WHOLE) {
                print(response.text(), "");
                return;
            }
            Configuration configuration = ConfigurationChanges.parse(response);
            print(keys().json(configuration), ConfigurationText.of(configuration, keys()));
        }
    }

    /** A command that reads a change from a file and sends it. */
    abstract static class ChangeCommand extends FleetCommand {
        @Argument(required = true, metaVar = "FILE", usage = "the change, as JSON")
        private Path file;

        @Option(
                name = "--on",
                metaVar = "VERSION",
                usage = "the version that it builds on, 0 for the first; default: the current one, which is read first")
        private Long expectedVersion;

        abstract ControlResponse send(ConfigurationChanges changes, byte[] body, Long version)
                throws IOException, InterruptedException;

        @Override
        public void run() throws IOException, InterruptedException {
            if (expectedVersion != null && expectedVersion < 0) {
                throw new UsageException("--on should be 0 or above");
            }
            ControlResponse response = send(new ConfigurationChanges(client()), bytes(file), expectedVersion);
            if (!response.isSuccess() && json()) {
                print(response.text(), "");
            }
            response.requireSuccess();
            print(response.text(), response.result().replaceAll(": $", "") + " by " + response.address());
        }
    }

    /** Replaces the configuration by a complete one. */
    public static final class Put extends ChangeCommand {
        @Override
        ControlResponse send(ConfigurationChanges changes, byte[] body, Long version)
                throws IOException, InterruptedException {
            return changes.put(body, version);
        }
    }

    /** Applies a patch to the configuration. */
    public static final class Patch extends ChangeCommand {
        @Override
        ControlResponse send(ConfigurationChanges changes, byte[] body, Long version)
                throws IOException, InterruptedException {
            return changes.patch(body, version);
        }
    }

    /** Shows the changes that a file would make. */
    public static final class Diff extends KeyDisplayCommand {
        @Argument(required = true, metaVar = "FILE", usage = "a whole configuration, or a change with upsert or remove")
        private Path file;

        @Override
        public void run() throws IOException, InterruptedException {
            byte[] body = bytes(file);
            Configuration current = new ConfigurationChanges(client()).current();
            Configuration next = ConfigurationChanges.apply(current, body);
            List<Change> changes = ConfigurationDifference.between(current, next, keys());
            StringBuilder text = new StringBuilder();
            changes.forEach(c -> text.append(c.line()).append('\n'));
            print(json(current, next, changes), changes.isEmpty() ? "no differences" : text.toString());
            if (current != null && next.version() <= current.version()) {
                throw InvalidInputException.of(
                        ResultCode.INVALID_CONFIGURATION, "config_version: is not above " + current.version());
            }
        }

        private static String json(Configuration current, Configuration next, List<Change> changes) {
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("from", current == null ? 0 : current.version());
            out.put("to", next.version());
            out.put("changes", changes.stream().map(Change::fields).toList());
            return JsonValues.toJson(out);
        }
    }

    private static byte[] bytes(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw InvalidInputException.of(ResultCode.FILE_UNREADABLE, "the file " + file + " can't be read: " + e);
        }
    }
}
