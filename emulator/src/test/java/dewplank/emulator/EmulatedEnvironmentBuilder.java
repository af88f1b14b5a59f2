package dewplank.emulator;

import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;

/**
 * Builds an {@link EmulatedEnvironment} with one request class for tests of its components. Keys are those of a
 * scenario file; keys that a test does not set have the scenario file's default values.
 */
final class EmulatedEnvironmentBuilder {
    private static final String FILE = "small.toml";

    private final VirtualTime time;
    private final RecordedEvent.Recorder recorder;
    private String topLevelKeys = "";
    private String serverKeys = "count = 1";
    private String directoryKeys = "";
    private String classKeys = "";
    private double workMs = 1;
    private double deadlineMs = 100;
    private long seed = 1;

    /** {@code recorder} receives all recorded events. */
    EmulatedEnvironmentBuilder(VirtualTime time, RecordedEvent.Recorder recorder) {
        this.time = time;
        this.recorder = recorder;
    }

    /** Sets the lines outside all tables. */
    EmulatedEnvironmentBuilder topLevel(String keys) {
        topLevelKeys = keys;
        return this;
    }

    /** Sets the lines of the table {@code servers}. */
    EmulatedEnvironmentBuilder servers(String keys) {
        serverKeys = keys;
        return this;
    }

    /** Sets the comma-separated keys of the inline table {@code directory}. */
    EmulatedEnvironmentBuilder directory(String keys) {
        directoryKeys = keys;
        return this;
    }

    /** Sets additional lines of the request class. */
    EmulatedEnvironmentBuilder requestClass(String keys) {
        classKeys = keys;
        return this;
    }

    /** Sets the mean work of a request, in milliseconds of a standard core, and the client's deadline. */
    EmulatedEnvironmentBuilder requests(double meanWorkMs, double clientDeadlineMs) {
        workMs = meanWorkMs;
        deadlineMs = clientDeadlineMs;
        return this;
    }

    EmulatedEnvironmentBuilder seed(long value) {
        seed = value;
        return this;
    }

    EmulatedEnvironment build() {
        return new EmulatedEnvironment(ScenarioFile.of(TomlFile.read(text(), FILE)), seed, time, recorder);
    }

    private String text() {
        return """
            name = "small"
            length_s = 10
            sidecars = 2
            directory = { %s }
            load = { per_s = 1 }
            %s
            [servers]
            %s
            [[class]]
            name = "k"
            work_ms = %s
            deadline_ms = %s
            %s
            """
                .formatted(directoryKeys, topLevelKeys, serverKeys, workMs, deadlineMs, classKeys);
    }
}
