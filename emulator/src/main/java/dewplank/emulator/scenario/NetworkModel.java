package dewplank.emulator.scenario;

/**
 * One-way delays of messages.
 *
 * @param sameZoneMs delay between a sidecar and a server in the same zone
 * @param crossZoneMs delay between a sidecar and a server in another zone
 * @param clientMs delay between a client and its sidecar
 * @param jitter mean of an additional, exponentially distributed delay, as a fraction of the delay
 */
public record NetworkModel(double sameZoneMs, double crossZoneMs, double clientMs, double jitter) {}
