package dewplank.emulator.scenario;

/**
 * One-way delays of messages.
 *
 * @param sameZoneMs between a sidecar and a server of its zone
 * @param crossZoneMs between a sidecar and a server of another zone
 * @param clientMs between a client and its sidecar
 * @param jitter mean of an exponential addition, as a fraction of the delay
 */
public record NetworkModel(double sameZoneMs, double crossZoneMs, double clientMs, double jitter) {}
