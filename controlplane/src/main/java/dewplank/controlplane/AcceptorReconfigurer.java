package dewplank.controlplane;

import dewplank.membership.AcceptorPlacement;
import dewplank.membership.AcceptorPlacement.PeerObservation;
import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes the register's acceptor set to the one that {@link AcceptorPlacement} computes from the live control planes:
 * replaces lost acceptors, and grows the set as machines with a disk appear.
 *
 * <p>Only the lease holder changes the set, one change at a time. Every control plane runs the computation
 * nevertheless, so that a new lease holder already has the time since which each machine has been missing. A change
 * that fails is computed again at a later check. Must be used on the loop's thread only.
 */
final class AcceptorReconfigurer {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptorReconfigurer.class);
    private static final double CHECK_INTERVAL_MS = 100;
    /** A quorum that replied within this time is assumed to be reachable. Covers more than two anti-entropy rounds. */
    private static final double QUORUM_VALIDITY_MS = 1_000;
    /** A change that has not completed within this time is computed again from the state at that time. */
    private static final double CHANGE_TIMEOUT_MS = 1_000;

    private final Scheduler loop;
    private final AcceptorId self;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final SingletonRole role;
    private final AcceptorPlacement placement;
    private boolean changePending;

    AcceptorReconfigurer(
            Scheduler loop,
            AcceptorId self,
            double catchUpMs,
            ControlMesh mesh,
            ConfigurationStore configuration,
            SingletonRole role) {
        this.loop = loop;
        this.self = self;
        this.mesh = mesh;
        this.configuration = configuration;
        this.role = role;
        this.placement = new AcceptorPlacement(AcceptorPlacement.Timing.ofCatchUp(catchUpMs));
    }

    void start() {
        check();
    }

    private void check() {
        AcceptorSet set = configuration.acceptors();
        List<AcceptorId> target = placement.targetMembers(loop.now(), set, observations());
        boolean differs = !set.isJoint() && !target.equals(set.members());
        if (differs && !changePending && role.isLeaseHolder() && configuration.hasQuorum(QUORUM_VALIDITY_MS)) {
            LOG.info("acceptor change started from={} to={}", set.members(), target);
            changePending = true;
            configuration.replaceAcceptors(set.generation(), target, CHANGE_TIMEOUT_MS, () -> changePending = false);
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private List<PeerObservation> observations() {
        double now = loop.now();
        List<PeerObservation> observations = new ArrayList<>();
        // Only a process with a disk runs this check, and its own heartbeat is always current.
        observations.add(new PeerObservation(self, true, now, Double.NEGATIVE_INFINITY));
        for (ControlMesh.Peer p : mesh.peers(Double.POSITIVE_INFINITY)) {
            AcceptorId peer = new AcceptorId(p.member().address, p.identity());
            observations.add(new PeerObservation(peer, p.durable(), p.lastReceivedAt(), p.firstReceivedAt()));
        }
        return observations;
    }
}
