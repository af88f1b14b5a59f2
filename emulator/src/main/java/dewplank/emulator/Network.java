package dewplank.emulator;

import dewplank.emulator.scenario.NetworkModel;
import dewplank.emulator.scenario.PeerMessages;
import dewplank.emulator.scenario.Scenario;
import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Message delays, message loss and partitions of the network. */
final class Network {
    private final Scenario scenario;
    private final DoubleSupplier jitter;
    private final UniformRandomProvider lossRandom;
    private final UniformRandomProvider peerRandom;
    private final Set<Long> partitions = new HashSet<>();
    private double lossRate;

    Network(Scenario scenario, RandomStreams randomStreams) {
        this.scenario = scenario;
        this.jitter = RandomStreams.exponential(randomStreams.stream("network", 0));
        this.lossRandom = randomStreams.stream("loss", 0);
        this.peerRandom = randomStreams.stream("messages", 0);
    }

    /** Draws the one-way delay of a message between a sidecar and a server. */
    double drawDelayMs(int sidecar, Server server) {
        NetworkModel model = scenario.network();
        boolean isSameZone = scenario.zoneOfSidecar(sidecar).equals(server.zone());
        double base = isSameZone ? model.sameZoneMs() : model.crossZoneMs();
        return base * (1 + model.jitter() * jitter.getAsDouble());
    }

    /** Draws whether a message is lost. Uses no random number while the loss rate is 0. */
    boolean drawLoss() {
        return lossRate > 0 && lossRandom.nextDouble() < lossRate;
    }

    void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Draws the delay of a datagram between two sidecars; negative if it is lost. */
    double drawPeerDelayMs() {
        PeerMessages model = scenario.peerMessages();
        boolean isLost = peerRandom.nextDouble() < model.lossRate();
        double delayMs = model.minDelayMs() + (model.maxDelayMs() - model.minDelayMs()) * peerRandom.nextDouble();
        return isLost ? -1 : delayMs;
    }

    boolean isPartitioned(int sidecar, int server) {
        return !partitions.isEmpty() && partitions.contains(pair(sidecar, server));
    }

    void setPartitioned(int sidecar, int server, boolean isPartitioned) {
        if (isPartitioned) {
            partitions.add(pair(sidecar, server));
        } else {
            partitions.remove(pair(sidecar, server));
        }
    }

    private static long pair(int sidecar, int server) {
        return (long) sidecar << 32 | server;
    }
}
