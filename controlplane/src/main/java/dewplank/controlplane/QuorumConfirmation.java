package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import java.util.Optional;

/**
 * Determines whether this control plane can confirm operators' requests. This requires that a quorum is reachable and
 * that all acceptors have a disk.
 *
 * <p>Evaluated at each operator's request and at each heartbeat of a peer. Must be used on the loop's thread only.
 */
final class QuorumConfirmation {
    /**
     * A quorum that replied within this time is assumed to be reachable. Covers more than three anti-entropy rounds.
     */
    static final double QUORUM_VALIDITY_MS = 1_500;
    /** Time after the start within which the hellos of control planes that were started at the same time arrive. */
    private static final double PEER_HELLO_TIMEOUT_MS = 5_000;

    private final Scheduler loop;
    private final String identity;
    private final boolean durable;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final ConfigurationHistory history;
    private final double startedAt;

    /**
     * @param identity the identity of this process as an acceptor
     * @param durable whether this process has a disk
     */
    QuorumConfirmation(
            Scheduler loop,
            String identity,
            boolean durable,
            ControlMesh mesh,
            ConfigurationStore configuration,
            ConfigurationHistory history) {
        this.loop = loop;
        this.identity = identity;
        this.durable = durable;
        this.mesh = mesh;
        this.configuration = configuration;
        this.history = history;
        this.startedAt = loop.now();
    }

    boolean canConfirm() {
        return durable && configuration.hasQuorum(QUORUM_VALIDITY_MS) && acceptorsAreDurable();
    }

    /**
     * Whether all acceptors have a disk. Before the first configuration is chosen, and until {@link
     * #PEER_HELLO_TIMEOUT_MS} has passed since the start, an acceptor whose hello has not arrived counts as not
     * durable. Afterwards it counts as durable, because the set then contains no acceptor without a disk.
     */
    private boolean acceptorsAreDurable() {
        boolean helloRequired = history.version() == 0 && loop.now() - startedAt < PEER_HELLO_TIMEOUT_MS;
        for (AcceptorId acceptor : configuration.acceptors().all()) {
            if (!acceptor.identity().equals(identity) && !isDurable(acceptor, helloRequired)) {
                return false;
            }
        }
        return true;
    }

    private boolean isDurable(AcceptorId acceptor, boolean helloRequired) {
        if (acceptor.isVolatile()) {
            return false;
        }
        Optional<ControlMesh.Peer> peer =
                mesh.peer(acceptor.address()).filter(p -> p.identity().equals(acceptor.identity()));
        return peer.isPresent() ? peer.get().durable() : !helloRequired;
    }
}
