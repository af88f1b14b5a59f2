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
 * Keeps the register's acceptors what {@link AcceptorPlacement} says they should be: the holder of the duty compares the set
 * with the control sidecars that live and asks the register for one change at a time. Every control sidecar notes who
 * is missing, so that a new holder need not begin to wait anew.
 */
final class AcceptorReconfigurer {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptorReconfigurer.class);
    private static final double CHECK_INTERVAL_MS = 100;
    /** A majority heard within this is taken to stand: more than two sweeps of the register. */
    private static final double QUORUM_VALIDITY_MS = 1_000;
    /** A change that has not come through by then is worked out again from what is then known. */
    private static final double CHANGE_TIMEOUT_MS = 1_000;

    private final Scheduler loop;
    private final AcceptorId self;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final SingletonRole duty;
    private final AcceptorPlacement plan;
    private boolean changePending;

    AcceptorReconfigurer(
            Scheduler loop,
            AcceptorId self,
            double catchUpMs,
            ControlMesh mesh,
            ConfigurationStore configuration,
            SingletonRole duty) {
        this.loop = loop;
        this.self = self;
        this.mesh = mesh;
        this.configuration = configuration;
        this.duty = duty;
        this.plan = new AcceptorPlacement(AcceptorPlacement.Timing.ofCatchUp(catchUpMs));
    }

    void start() {
        check();
    }

    private void check() {
        AcceptorSet set = configuration.acceptors();
        List<AcceptorId> wanted = plan.targetMembers(loop.now(), set, sightings());
        boolean differs = !set.isJoint() && !wanted.equals(set.members());
        if (differs && !changePending && duty.isHeld() && configuration.hasQuorum(QUORUM_VALIDITY_MS)) {
            LOG.info("acceptor change started from={} to={}", set.members(), wanted);
            changePending = true;
            configuration.replaceAcceptors(set.generation(), wanted, CHANGE_TIMEOUT_MS, () -> changePending = false);
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private List<PeerObservation> sightings() {
        double now = loop.now();
        List<PeerObservation> sightings = new ArrayList<>();
        sightings.add(
                new PeerObservation(self, true, now, Double.NEGATIVE_INFINITY)); // only who has a disk holds the duty
        for (ControlMesh.Peer p : mesh.peers(Double.POSITIVE_INFINITY)) {
            AcceptorId peer = new AcceptorId(p.member().address, p.identity());
            sightings.add(new PeerObservation(peer, p.durable(), p.lastReceivedAt(), p.firstReceivedAt()));
        }
        return sightings;
    }
}
