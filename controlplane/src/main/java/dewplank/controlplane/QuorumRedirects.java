package dewplank.controlplane;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Determines from the state of the mesh the other control planes to which operators can send their requests instead.
 * Must be used on the loop's thread only.
 */
final class QuorumRedirects implements OperatorApi.Redirects {
    private final int controlPort;
    private final String self;
    private final ControlMesh mesh;
    private final BooleanSupplier quorate;
    private final BooleanSupplier foundersLost;

    /**
     * Assumes that the ports are the same on all machines.
     *
     * @param controlPort the port of the operators' interface, on this machine and on others
     * @param self the address of this process on the links between control planes
     * @param quorate whether a quorum was reached recently
     * @param foundersLost whether the initial acceptors are known to be lost permanently
     */
    QuorumRedirects(
            int controlPort, String self, ControlMesh mesh, BooleanSupplier quorate, BooleanSupplier foundersLost) {
        this.foundersLost = foundersLost;
        this.controlPort = controlPort;
        this.self = self;
        this.mesh = mesh;
        this.quorate = quorate;
    }

    @Override
    public boolean hasQuorum() {
        return quorate.getAsBoolean();
    }

    @Override
    public boolean areFoundersLost() {
        return foundersLost.getAsBoolean();
    }

    @Override
    public Optional<String> quorateOperatorAddress() {
        return mesh.quorateAddress().map(this::operatorAddress);
    }

    @Override
    public List<String> otherOperatorAddresses() {
        return mesh.addressesLiveFirst().stream()
                .filter(a -> !a.equals(self))
                .map(this::operatorAddress)
                .toList();
    }

    private String operatorAddress(String linkAddress) {
        return linkAddress.substring(0, linkAddress.lastIndexOf(':') + 1) + controlPort;
    }
}
