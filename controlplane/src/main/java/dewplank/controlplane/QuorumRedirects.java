package dewplank.controlplane;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Where operators' calls may go instead, by what the mesh knows of other control planes. On the loop's thread only. */
final class QuorumRedirects implements OperatorApi.Redirects {
    private final int controlPort;
    private final String self;
    private final ControlMesh mesh;
    private final BooleanSupplier quorate;
    private final BooleanSupplier foundersLost;

    /**
     * Ports are alike on all machines.
     *
     * @param controlPort where operators call, here and elsewhere
     * @param self the own address on the links
     * @param quorate whether a majority was reached recently
     * @param foundersLost whether the first acceptors are known to be gone for good
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
    public Optional<String> quorateEndpoint() {
        return mesh.quorateAddress().map(this::operatorEndpoint);
    }

    @Override
    public List<String> knownEndpoints() {
        return mesh.addressesLiveFirst().stream()
                .filter(a -> !a.equals(self))
                .map(this::operatorEndpoint)
                .toList();
    }

    private String operatorEndpoint(String linkAddress) {
        return linkAddress.substring(0, linkAddress.lastIndexOf(':') + 1) + controlPort;
    }
}
