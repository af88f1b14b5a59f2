package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;

/** Whether operators' calls may be decided here: by a quorum, and one that keeps what it accepts. */
final class QuorumConfirmation {
    /** A quorum that answered within this is taken to stand. */
    static final double QUORUM_VALIDITY_MS = 1_500;
    /** Whoever started together with this process has said by then whether it has a disk. */
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
     * Whether all acceptors have a disk as far as is known. Before there is a configuration each has to have said so,
     * for as long as all that started together may need to; later the set holds none without, and who is silent had
     * one.
     */
    private boolean acceptorsAreDurable() {
        boolean helloRequired = history.version() == 0 && loop.now() - startedAt < PEER_INTRODUCTION_MS;
        for (AcceptorId acceptor : configuration.acceptors().all()) {
            ControlMesh.Peer peer = mesh.peer(acceptor.address());
            boolean introduced = peer != null && peer.identity().equals(acceptor.identity());
            if (!acceptor.identity().equals(identity) && (introduced ? !peer.durable() : helloRequired)) {
                return false;
            }
        }
        return true;
    }
}
