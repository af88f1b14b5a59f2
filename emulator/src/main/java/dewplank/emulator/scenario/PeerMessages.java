package dewplank.emulator.scenario;

/**
 * Datagrams between sidecars.
 *
 * @param minDelayMs shortest delay
 * @param maxDelayMs longest delay
 * @param lossRate fraction of datagrams that are lost
 */
public record PeerMessages(boolean enabled, double minDelayMs, double maxDelayMs, double lossRate) {

    /** The same with another loss rate. */
    PeerMessages withLossRate(double newLossRate) {
        return new PeerMessages(enabled, minDelayMs, maxDelayMs, newLossRate);
    }
}
