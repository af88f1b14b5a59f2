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
 * the set, and stays: a successor, which has forgotten its predecessor's votes, is no acceptor. Where no founder has a
 * disk, control planes first agree on the identities: they exchange what is stored by heartbeats, and count votes
 * once it has been the same everywhere for a while. Where all founders have ended before anything was chosen, or the
 * identities differ, nobody can tell what was decided. The bootstrap then begins anew with the founders' successors,
 * once every known control plane with a disk has been reachable for a while and none has a chosen value; until then
 * operators get {@link ResultCode#FOUNDERS_LOST}. The argument is invariant 13 in {@code docs/register.md}.
 *
 * <p>On the loop's thread only; ends as soon as a value is chosen.
 */
final class FounderTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FounderTracker.class);
    private static final double CHECK_INTERVAL_MS = 50;
    /**
     * How long the stored identities have to be the same everywhere: a control plane that lost its link to a restarted
     * founder has dialled it again (0.55 s), been named by it and dialled from here, and sent a heartbeat (0.3 s).
     */
    private static final double AGREEMENT_MS = 1_000;
    /** An initial set of a later bootstrap has a higher generation, so fencing tokens begin above all earlier ones. */
    private static final int GENERATIONS_PER_ROUND = 2;

    /** A peer that has been heard so lately is asked for its agreement. */
    private static final double PEER_VALIDITY_MS = 1_000;

    /** A disk that refused a record is asked again after this: it is full, or hangs, for seconds. */
    private static final double SAVE_RETRY_MS = 1_000;

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
    private final Map<String, FounderIdentities.Record> recordsOfPeers = new LinkedHashMap<>();
    private FounderIdentities.Record stored;
    private double storedAtMs;
    private boolean isActive;
    private boolean isContested;
    private boolean isSavePending;
    private double saveRetryAtMs = Double.NEGATIVE_INFINITY;
    private boolean isLossLogged;
    private double allReachableSinceMs = Double.NaN;

    /**
     * @param founders the initial acceptors, as if all had a disk; empty for a process that took no part in the
     *     bootstrap
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
            storedAtMs = loop.now();
            updateInitialAcceptors();
            check();
        }
    }

    /** Whether nothing is known to be chosen, and what the founders, without a disk, decided is lost. */
    boolean areFoundersLost() {
        boolean isFounding = !founders.isEmpty() && !configuration.hasChosenValue();
        return isFounding && (isContested || configuration.areInitialAcceptorsEnded());
    }

    /** What heartbeats tell the others: the stored identities until a value is chosen, then nothing. */
    List<String> report() {
        boolean isFounding = !founders.isEmpty() && !configuration.hasChosenValue();
        return isFounding ? List.of(stored.encode()) : List.of();
    }

    /** A control plane's heartbeat told what it has stored; anything else than one readable record is ignored. */
    void reported(String from, List<String> texts) {
        if (texts.size() != 1 || founders.isEmpty() || configuration.hasChosenValue()) {
            return;
        }
        FounderIdentities.Record.decode(texts.get(0)).ifPresent(record -> {
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
            activateOnceAgreed();
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    // ---- agreement on the identities -------------------------------------------------------------------

    private void recordNewFounders() {
        Map<String, String> known = new LinkedHashMap<>(stored.byAddress());
        for (AcceptorId founder : founders) {
            volatilePeer(founder).ifPresent(peer -> known.putIfAbsent(founder.address(), peer.identity()));
        }
        saveIfNew(known);
    }

    private Optional<ControlMesh.Peer> volatilePeer(AcceptorId founder) {
        return mesh.peer(founder.address())
                .filter(peer -> Bootstrap.isVolatileFounder(new AcceptorId(founder.address(), peer.identity())));
    }

    private void merge(FounderIdentities.Record other) {
        if (other.bootstrapRound() > stored.bootstrapRound()) {
            save(other);
        } else if (other.bootstrapRound() == stored.bootstrapRound() && !isActive) {
            Map<String, String> known = new LinkedHashMap<>(other.byAddress());
            known.putAll(stored.byAddress());
            isContested |= other.byAddress().entrySet().stream()
                    .anyMatch(entry -> !entry.getValue().equals(known.get(entry.getKey())));
            saveIfNew(known);
        }
    }

    private void saveIfNew(Map<String, String> known) {
        if (!known.equals(stored.byAddress())) {
            save(new FounderIdentities.Record(stored.bootstrapRound(), known));
        }
    }

    private boolean isNoFounderDurable() {
        return founders.stream().allMatch(founder -> stored.byAddress().containsKey(founder.address()));
    }

    private void activateOnceAgreed() {
        boolean isSettled = loop.now() - storedAtMs >= AGREEMENT_MS && !isSavePending;
        if (!isActive && isNoFounderDurable() && isSettled && isAgreed()) {
            isActive = true;
            updateInitialAcceptors();
        }
    }

    /** Whether no control plane with a disk that is linked has stored anything else. */
    private boolean isAgreed() {
        return mesh.peers(PEER_VALIDITY_MS).stream()
                .map(peer -> recordsOfPeers.get(peer.member().address))
                .allMatch(record -> record == null || record.equals(stored));
    }

    // ---- a bootstrap that begins anew ------------------------------------------------------------------

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
            save(new FounderIdentities.Record(stored.bootstrapRound() + 1, successors));
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

    /** The identities of the founders that are linked now, by address. */
    private Map<String, String> reachableFounders() {
        Map<String, String> reachable = new LinkedHashMap<>();
        for (AcceptorId founder : founders) {
            volatilePeer(founder)
                    .filter(peer -> mesh.isUp(founder.address()))
                    .ifPresent(peer -> reachable.put(founder.address(), peer.identity()));
        }
        return reachable;
    }

    // ---- what is stored --------------------------------------------------------------------------------

    private void save(FounderIdentities.Record next) {
        if (isSavePending || loop.now() < saveRetryAtMs) {
            return;
        }
        isSavePending = true;
        store.saveFounderIdentities(next, result -> {
            isSavePending = false;
            if (result.isSuccess()) {
                stored(next);
            } else {
                saveRetryAtMs = loop.now() + SAVE_RETRY_MS;
            }
        });
    }

    private void stored(FounderIdentities.Record next) {
        boolean isNewRound = next.bootstrapRound() > stored.bootstrapRound();
        stored = next;
        storedAtMs = loop.now();
        if (isNewRound) {
            isContested = false;
            isActive = false;
            isLossLogged = false;
        }
        updateInitialAcceptors();
    }

    private void updateInitialAcceptors() {
        List<AcceptorId> members = founders.stream().map(this::countedAs).toList();
        long generation = (long) GENERATIONS_PER_ROUND * stored.bootstrapRound();
        configuration.updateInitialAcceptors(new AcceptorSet(generation, members, List.of()));
    }

    /** Under the name of a disk, to which no founder without one answers, until its identity is agreed on. */
    private AcceptorId countedAs(AcceptorId founder) {
        String identity = stored.byAddress().getOrDefault(founder.address(), founder.identity());
        return isNoFounderDurable() && !isActive ? founder : new AcceptorId(founder.address(), identity);
    }
}
