package dewplank.emulator.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** A machine of the fleet and its place in the network. */
public record FleetMachine(
        String node, MachineClass machineClass, InetAddress address, String zone, InetSocketAddress platform) {
    public InetSocketAddress front() {
        return new InetSocketAddress(address, FleetNetwork.FRONT_PORT);
    }

    public InetSocketAddress readiness() {
        return new InetSocketAddress(address, FleetNetwork.READINESS_PORT);
    }

    public InetSocketAddress control() {
        return new InetSocketAddress(address, FleetNetwork.CONTROL_PORT);
    }
}
