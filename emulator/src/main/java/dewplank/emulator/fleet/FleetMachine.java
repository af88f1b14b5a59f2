package dewplank.emulator.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** A machine of the fleet: its address, its zone, and the address at which it reaches the platform. */
public record FleetMachine(
        String node, MachineClass machineClass, InetAddress address, String zone, InetSocketAddress platform) {
    /** Where a data plane takes requests. */
    public InetSocketAddress front() {
        return new InetSocketAddress(address, FleetNetwork.FRONT_PORT);
    }

    /** Where a data plane answers readiness checks. */
    public InetSocketAddress readiness() {
        return new InetSocketAddress(address, FleetNetwork.READINESS_PORT);
    }

    /** Where a control plane takes sessions and the operator's calls. */
    public InetSocketAddress control() {
        return new InetSocketAddress(address, FleetNetwork.CONTROL_PORT);
    }
}
