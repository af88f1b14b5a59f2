package dewplank.emulator.scenario;

/**
 * Load reports that servers send with responses.
 *
 * @param periodMs between two refreshes of the figure
 * @param noise largest relative error of the figure
 */
public record LoadReports(boolean enabled, double periodMs, double noise) {}
