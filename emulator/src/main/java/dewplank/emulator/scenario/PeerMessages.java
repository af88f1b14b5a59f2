package dewplank.emulator.scenario;

/**
 * Properties of the datagrams between sidecars.
 *
 * @param minDelayMs shortest delay
 * @param maxDelayMs longest delay
 * @param lossRate fraction of datagrams that are lost
 */
public record PeerMessages(boolean enabled, double minDelayMs, double maxDelayMs, double lossRate) {

    /** Returns a copy with the given loss rate. */
    PeerMessages withLossRate(double newLossRate) {
        return new PeerMessages(enabled, minDelayMs, maxDelayMs, newLossRate);
    }
}
