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
 * Determines the initial acceptor set during the bootstrap of the fleet. Its members are the founders, some of which
 * may have no disk.
 *
 * <p>The identity of a founder without a disk is unknown until its first hello arrives. It is stored before it becomes
 * part of the set, and is not replaced: a successor at the same address has lost the votes of its predecessor, so it is
 * not an acceptor. If no founder has a disk, the control planes first agree on the identities: they exchange the stored
 * identities in heartbeats, and count votes once these have been the same everywhere for {@link #AGREEMENT_MS}.
 *
 * <p>If the processes of all founders terminate before a value is chosen, or if the identities differ, it is impossible
 * to determine what was decided. The bootstrap is then restarted with the founders' successors, once every known
 * control plane with a disk has been reachable for {@link #restartAfterMs} and none has a chosen value. Until then
 * operators get {@link ResultCode#FOUNDERS_LOST}. Invariant 13 in {@code docs/register.md} explains why this is safe.
 *
 * <p>Must be used on the loop's thread only. The checks end as soon as a value is chosen.
 */
final class FounderTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FounderTracker.class);
    private static final double CHECK_INTERVAL_MS = 50;
    /**
     * How long the stored identities have to be the same everywhere. Within this time a control plane that lost its
     * link to a restarted founder reconnects to it (0.55 s), the founder reports the address of that control plane,
     * this process connects to it, and it sends a heartbeat (0.3 s).
     */
    private static final double AGREEMENT_MS = 1_000;
    /** The initial set of a later round has a higher generation, so that its fencing tokens exceed all earlier ones. */
    private static final int GENERATIONS_PER_ROUND = 2;

    /** Only peers whose last message arrived within this time have to agree. */
    private static final double PEER_VALIDITY_MS = 1_000;

    /** Delay before a failed write is retried: a disk that is full or hangs remains so for seconds. */
    private static final double SAVE_RETRY_MS = 1_000;

    /** Stores the identities. */
    interface Store {
        /** The identities that were stored when this process started. */
        FounderIdentities.StoredIdentities founderIdentities();

        /** Stores the identities; {@code done} receives the result of the write, in a later task of the loop. */
        void saveFounderIdentities(FounderIdentities.StoredIdentities record, Consumer<DiskResult> done);
    }

    private final Scheduler loop;
    private final List<AcceptorId> founders;
    private final double restartAfterMs;
    private final Store store;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final Map<String, FounderIdentities.StoredIdentities> recordsOfPeers = new LinkedHashMap<>();
    private FounderIdentities.StoredIdentities stored;
    private double storedAtMs;
    private boolean areIdentitiesInForce;
    private boolean hasConflict;
    private boolean isSavePending;
    private double saveRetryAtMs = Double.NEGATIVE_INFINITY;
    private boolean isLossLogged;
    private double allReachableSinceMs = Double.NaN;

    /**
     * @param founders the initial acceptors, on the assumption that all have a disk; empty for a process that took no
     *     part in the bootstrap
     * @param restartAfterMs how long all control planes have to be reachable before the bootstrap is restarted; longer
     *     than the duration of any vote or lease
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
            storedAtMs = loop.now();
            updateInitialAcceptors();
            check();
        }
    }

    /** Whether the decisions of the founders, which had no disk, are lost and no value is known to be chosen. */
    boolean areFoundersLost() {
        boolean isBootstrapping = !founders.isEmpty() && !configuration.hasChosenValue();
        return isBootstrapping && (hasConflict || configuration.areInitialAcceptorsEnded());
    }

    /** The founders in heartbeats: the encoded stored identities until a value is chosen, afterwards an empty list. */
    List<String> report() {
        boolean isBootstrapping = !founders.isEmpty() && !configuration.hasChosenValue();
        return isBootstrapping ? List.of(stored.encode()) : List.of();
    }

    /** Handles the encoded identities in a control plane's heartbeat. Ignores them unless they are one valid record. */
    void onIdentitiesReported(String from, List<String> encodedRecords) {
        if (encodedRecords.size() != 1 || founders.isEmpty() || configuration.hasChosenValue()) {
            return;
        }
        FounderIdentities.StoredIdentities.decode(encodedRecords.get(0)).ifPresent(record -> {
            recordsOfPeers.put(from, record);
            merge(record);
        });
    }

    private void check() {
        if (configuration.hasChosenValue()) {
            recordsOfPeers.clear();
            return;
        }
        if (areFoundersLost()) {
            checkRestart();
        } else {
            recordNewFounders();
            applyOnceAgreed();
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    // ---- agreement on the identities -------------------------------------------------------------------

    private void recordNewFounders() {
        Map<String, String> identities = new LinkedHashMap<>(stored.byAddress());
        for (AcceptorId founder : founders) {
            volatilePeer(founder).ifPresent(peer -> identities.putIfAbsent(founder.address(), peer.identity()));
        }
        saveIfNew(identities);
    }

    private Optional<ControlMesh.Peer> volatilePeer(AcceptorId founder) {
        return mesh.peer(founder.address())
                .filter(peer -> Bootstrap.isVolatileFounder(new AcceptorId(founder.address(), peer.identity())));
    }

    private void merge(FounderIdentities.StoredIdentities other) {
        if (other.bootstrapRound() > stored.bootstrapRound()) {
            save(other);
        } else if (other.bootstrapRound() == stored.bootstrapRound() && !areIdentitiesInForce) {
            Map<String, String> identities = new LinkedHashMap<>(other.byAddress());
            identities.putAll(stored.byAddress());
            hasConflict |= other.byAddress().entrySet().stream()
                    .anyMatch(entry -> !entry.getValue().equals(identities.get(entry.getKey())));
            saveIfNew(identities);
        }
    }

    private void saveIfNew(Map<String, String> identities) {
        if (!identities.equals(stored.byAddress())) {
            save(new FounderIdentities.StoredIdentities(stored.bootstrapRound(), identities));
        }
    }

    private boolean areAllFoundersVolatile() {
        return founders.stream().allMatch(founder -> stored.byAddress().containsKey(founder.address()));
    }

    private void applyOnceAgreed() {
        boolean isStable = loop.now() - storedAtMs >= AGREEMENT_MS && !isSavePending;
        if (!areIdentitiesInForce && areAllFoundersVolatile() && isStable && isAgreed()) {
            areIdentitiesInForce = true;
            updateInitialAcceptors();
        }
    }

    /** Whether every record reported by a peer whose last message arrived recently equals the stored one. */
    private boolean isAgreed() {
        return mesh.peers(PEER_VALIDITY_MS).stream()
                .map(peer -> recordsOfPeers.get(peer.member().address))
                .allMatch(record -> record == null || record.equals(stored));
    }

    // ---- restart of the bootstrap ----------------------------------------------------------------------

    private void checkRestart() {
        logLossOnce();
        Map<String, String> successors = reachableFounders();
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
            save(new FounderIdentities.StoredIdentities(stored.bootstrapRound() + 1, successors));
        }
    }

    private void logLossOnce() {
        if (!isLossLogged) {
            isLossLogged = true;
            LOG.warn(
                    "{}",
                    ResultCode.FOUNDERS_LOST.line(
                            "founders without a disk have ended before a first value was chosen founders=" + stored));
        }
    }

    /** The identities of the founders without a disk whose links are up, by address. */
    private Map<String, String> reachableFounders() {
        Map<String, String> reachable = new LinkedHashMap<>();
        for (AcceptorId founder : founders) {
            volatilePeer(founder)
                    .filter(peer -> mesh.isUp(founder.address()))
                    .ifPresent(peer -> reachable.put(founder.address(), peer.identity()));
        }
        return reachable;
    }

    // ---- stored identities -----------------------------------------------------------------------------

    private void save(FounderIdentities.StoredIdentities next) {
        if (isSavePending || loop.now() < saveRetryAtMs) {
            return;
        }
        isSavePending = true;
        store.saveFounderIdentities(next, result -> {
            isSavePending = false;
            if (result.isSuccess()) {
                onStored(next);
            } else {
                saveRetryAtMs = loop.now() + SAVE_RETRY_MS;
            }
        });
    }

    private void onStored(FounderIdentities.StoredIdentities next) {
        boolean isNewRound = next.bootstrapRound() > stored.bootstrapRound();
        stored = next;
        storedAtMs = loop.now();
        if (isNewRound) {
            hasConflict = false;
            areIdentitiesInForce = false;
            isLossLogged = false;
        }
        updateInitialAcceptors();
    }

    private void updateInitialAcceptors() {
        List<AcceptorId> members = founders.stream().map(this::initialAcceptor).toList();
        long generation = (long) GENERATIONS_PER_ROUND * stored.bootstrapRound();
        configuration.updateInitialAcceptors(new AcceptorSet(generation, members, List.of()));
    }

    /**
     * The acceptor id of a founder in the initial set. While no founder has a disk and their identities are not agreed
     * on yet, this is the id that the founder would have with a disk. No process has that id, so no vote is counted.
     */
    private AcceptorId initialAcceptor(AcceptorId founder) {
        String identity = stored.byAddress().getOrDefault(founder.address(), founder.identity());
        return areAllFoundersVolatile() && !areIdentitiesInForce
                ? founder
                : new AcceptorId(founder.address(), identity);
    }
}
