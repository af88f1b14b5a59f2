package dewplank.emulator.scenario;

/**
 * How late the directory learns of changes, and how much it can send.
 *
 * @param crashNoticeMs mean time until it learns of a crash
 * @param vanishNoticeMs mean time until it learns that a machine vanished
 * @param startNoticeMs until it learns of a start
 * @param updateIntervalMs mean time between two updates of a watch
 * @param callsPerSecond calls that it accepts
 * @param callTimeoutMs after which a call that waits for its turn fails
 */
public record DirectoryModel(
        double crashNoticeMs,
        double vanishNoticeMs,
        double startNoticeMs,
        double updateIntervalMs,
        double callsPerSecond,
        double callTimeoutMs) {}
