package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.settings.ResultCode;
import dewplank.store.DiskResult;
import dewplank.store.FounderIdentities;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forms the initial acceptor set at the bootstrap of the fleet, while some of its members, the founders, have no disk.
 *
 * <p>The identity of a founder without a disk is unknown until its first hello. It is stored before it becomes part of
 * the set, and stays: a successor, which has forgotten its predecessor's votes, is no acceptor. Where all founders had
 * no disk and all have ended before anything was chosen, nobody can tell what they decided. The bootstrap then begins
 * anew with their successors, once every known control plane with a disk has been reachable for a while and none has a
 * chosen value; until then operators get {@link ResultCode#FOUNDERS_LOST}. The argument is invariant 13 in {@code
 * docs/register.md}.
 *
 * <p>On the loop's thread only; ends as soon as a value is chosen.
 */
final class FounderTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FounderTracker.class);
    private static final double CHECK_INTERVAL_MS = 50;
    /** An initial set of a later bootstrap has a higher generation, so fencing tokens begin above all earlier ones. */
    private static final int GENERATIONS_PER_ROUND = 2;

    /** Where the identities are stored. */
    interface Store {
        /** The identities as they were stored when this process started. */
        FounderIdentities.Record founderIdentities();

        /** Stores them; {@code done} receives whether they are on the disk, in a later task of the loop. */
        void saveFounderIdentities(FounderIdentities.Record record, Consumer<DiskResult> done);
    }

    private final Scheduler loop;
    private final List<AcceptorId> founders;
    private final double restartAfterMs;
    private final Store store;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private FounderIdentities.Record stored;
    private boolean isSavePending;
    private boolean isLossLogged;
    private double allReachableSinceMs = Double.NaN;

    /**
     * @param founders the initial acceptors, as if all had a disk; empty for a process that was no founder's peer
     * @param restartAfterMs how long all control planes have to be reachable before the bootstrap begins anew; longer
     *     than any vote or lease lasts
     */
    FounderTracker(
            Scheduler loop,
            List<AcceptorId> founders,
            double restartAfterMs,
            Store store,
            ControlMesh mesh,
            ConfigurationStore configuration) {
        this.loop = loop;
        this.founders = founders;
        this.restartAfterMs = restartAfterMs;
        this.store = store;
        this.mesh = mesh;
        this.configuration = configuration;
        this.stored = store.founderIdentities();
    }

    void start() {
        if (!founders.isEmpty()) {
            updateInitialAcceptors();
            check();
        }
    }

    /** Whether all founders, without a disk, have ended before this process knew of any chosen value. */
    boolean areFoundersLost() {
        return configuration.areInitialAcceptorsEnded();
    }

    private void check() {
        if (configuration.hasChosenValue()) {
            return;
        }
        if (areFoundersLost()) {
            checkRestart();
        } else {
            recordNewFounders();
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private void recordNewFounders() {
        Map<String, String> known = new LinkedHashMap<>(stored.byAddress());
        for (AcceptorId founder : founders) {
            volatilePeer(founder).ifPresent(peer -> known.putIfAbsent(founder.address(), peer.identity()));
        }
        if (!known.equals(stored.byAddress())) {
            save(new FounderIdentities.Record(stored.bootstrapRound(), known));
        }
    }

    private Optional<ControlMesh.Peer> volatilePeer(AcceptorId founder) {
        return mesh.peer(founder.address()).filter(peer -> !peer.durable());
    }

    // ---- a bootstrap that begins anew ------------------------------------------------------------------

    private void checkRestart() {
        logLossOnce();
        Map<String, String> successors = reachableSuccessors();
        if (successors.size() < founders.size() || !mesh.areAllControlPlanesUp()) {
            allReachableSinceMs = Double.NaN;
            return;
        }
        if (Double.isNaN(allReachableSinceMs)) {
            allReachableSinceMs = loop.now();
        }
        mesh.liveAddresses().forEach(configuration::queryPeer);
        if (loop.now() - allReachableSinceMs >= restartAfterMs) {
            allReachableSinceMs = Double.NaN;
            LOG.warn("bootstrap begins anew round={} founders={}", stored.bootstrapRound() + 1, successors);
            save(new FounderIdentities.Record(stored.bootstrapRound() + 1, successors));
        }
    }

    private void logLossOnce() {
        if (!isLossLogged) {
            isLossLogged = true;
            LOG.warn(
                    "{}",
                    ResultCode.FOUNDERS_LOST.line("all founders, without a disk, have ended before a first value was"
                            + " chosen founders=" + configuration.acceptors().members()));
        }
    }

    /** The founders' successors that are linked now, by address. */
    private Map<String, String> reachableSuccessors() {
        Map<String, String> successors = new LinkedHashMap<>();
        for (AcceptorId founder : founders) {
            String ended = stored.byAddress().get(founder.address());
            volatilePeer(founder)
                    .filter(peer -> !peer.identity().equals(ended) && mesh.isUp(founder.address()))
                    .ifPresent(peer -> successors.put(founder.address(), peer.identity()));
        }
        return successors;
    }

    // ---- what is stored --------------------------------------------------------------------------------

    private void save(FounderIdentities.Record next) {
        if (isSavePending) {
            return;
        }
        isSavePending = true;
        store.saveFounderIdentities(next, result -> {
            isSavePending = false;
            if (result.isSuccess()) {
                stored = next;
                isLossLogged = false;
                updateInitialAcceptors();
            }
        });
    }

    private void updateInitialAcceptors() {
        List<AcceptorId> members =
                founders.stream().map(this::withStoredIdentity).toList();
        long generation = (long) GENERATIONS_PER_ROUND * stored.bootstrapRound();
        configuration.updateInitialAcceptors(new AcceptorSet(generation, members, List.of()));
    }

    private AcceptorId withStoredIdentity(AcceptorId founder) {
        String identity = stored.byAddress().getOrDefault(founder.address(), founder.identity());
        return new AcceptorId(founder.address(), identity);
    }
}
