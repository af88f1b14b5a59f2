package dewplank.emulator.scenario;

/**
 * Detection delays and capacity of the endpoint directory.
 *
 * @param crashDetectionMs mean time until the directory detects a crash
 * @param vanishDetectionMs mean time until the directory detects that a machine vanished
 * @param startDetectionMs time until the directory detects the start of a process
 * @param updateIntervalMs mean interval between two updates of a watch
 * @param callsPerSecond rate at which the directory accepts calls
 * @param callTimeoutMs time after which a queued call fails
 */
public record DirectoryModel(
        double crashDetectionMs,
        double vanishDetectionMs,
        double startDetectionMs,
        double updateIntervalMs,
        double callsPerSecond,
        double callTimeoutMs) {}
