package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import java.util.Optional;

/**
 * Whether operators' calls may be confirmed here: only a quorum confirms, and only one of acceptors with a disk.
 *
 * <p>Asked at each operator's call and each heartbeat of a peer, on the loop's thread only.
 */
final class QuorumConfirmation {
    /** A quorum that answered within this is taken to be reachable still: more than three anti-entropy rounds. */
    static final double QUORUM_VALIDITY_MS = 1_500;
    /** Every control plane that started together with this one has said hello by then. */
    private static final double PEER_INTRODUCTION_MS = 5_000;

    private final Scheduler loop;
    private final String identity;
    private final boolean durable;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final ConfigurationHistory history;
    private final double startedAt;

    /**
     * @param identity of the acceptor of this process
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
     * Whether all acceptors have a disk as far as is known. Before the first configuration each has to have said so in
     * its hello, until all that started together have had time for it. Later the set has none without a disk, so one
     * that is unreachable counts as durable.
     */
    private boolean acceptorsAreDurable() {
        boolean helloRequired = history.version() == 0 && loop.now() - startedAt < PEER_INTRODUCTION_MS;
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
        Optional<ControlMesh.Peer> introduced =
                mesh.peer(acceptor.address()).filter(p -> p.identity().equals(acceptor.identity()));
        return introduced.isPresent() ? introduced.get().durable() : !helloRequired;
    }
}
