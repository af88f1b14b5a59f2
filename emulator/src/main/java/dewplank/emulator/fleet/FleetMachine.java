package dewplank.emulator.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** A machine of the fleet: its address, its zone, and the address at which it reaches the platform. */
public record FleetMachine(
        String node, MachineClass machineClass, InetAddress address, String zone, InetSocketAddress platform) {
    /** The address at which a data plane accepts requests. */
    public InetSocketAddress front() {
        return new InetSocketAddress(address, FleetNetwork.FRONT_PORT);
    }

    /** The address at which a data plane responds to readiness checks. */
    public InetSocketAddress readiness() {
        return new InetSocketAddress(address, FleetNetwork.READINESS_PORT);
    }

    /** The address at which a control plane accepts sessions and the operator's calls. */
    public InetSocketAddress control() {
        return new InetSocketAddress(address, FleetNetwork.CONTROL_PORT);
    }
}
