package dewplank.emulator.scenario;

/**
 * Load reports that servers send with responses.
 *
 * @param periodMs interval at which the reported value is refreshed
 * @param noise largest relative error of the reported value
 */
public record LoadReports(boolean enabled, double periodMs, double noise) {}
