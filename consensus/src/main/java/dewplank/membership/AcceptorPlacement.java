package dewplank.membership;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes which control planes should be the register's acceptors, from the control planes that are live: a lost disk
 * is replaced by the identity that runs at its address, an unresponsive acceptor by a control plane that is no acceptor
 * yet, and the set grows to an odd number.
 *
 * <p>An unresponsive acceptor stays where nobody can replace it: a smaller set tolerates fewer faults, and the machine
 * may come back with its disk. Where somebody can, little is lost if it does come back: it takes the next free place.
 *
 * <p>No input or output: the caller hands in the time and the observations, and proposes what comes back to the
 * register. Not thread-safe; the control plane calls it on its event loop. Times are in milliseconds of one steady
 * clock. No method throws, and none takes or returns null.
 */
public final class AcceptorPlacement {
    /** More acceptors than this tolerate no fault that a deployment asks for, and each change waits for more disks. */
    public static final int MAX_ACCEPTORS = 9;

    /**
     * The time-outs of a placement, in milliseconds.
     *
     * @param heartbeatTimeoutMs a peer is live for so long after its last heartbeat
     * @param minUptimeMs a newcomer is eligible once its identity has sent heartbeats for so long
     * @param replaceAfterMs an acceptor that has not been live for so long is replaced
     * @param bootstrapGraceMs all that started together with this process have sent a heartbeat by then
     */
    public record Timing(
            double heartbeatTimeoutMs, double minUptimeMs, double replaceAfterMs, double bootstrapGraceMs) {
        /** Machines start within 0.3 s of each other, a process takes up to 2 s on a slow one, then it is linked. */
        private static final double BOOTSTRAP_GRACE_MS = 5_000;

        private static final double HEARTBEAT_TIMEOUT_MS = 1_000; // three heartbeats of 300 ms and their transmission
        /** More than a heartbeat and its transmission: late messages of an earlier incarnation have arrived by then. */
        private static final double MIN_UPTIME_MS = 400;

        private static final double REPLACE_FRACTION_OF_CATCH_UP = 1 / 4.0;
        private static final double MAX_REPLACE_AFTER_MS = 2_000;

        /**
         * The time-outs for a deployment in which the next loss may come {@code catchUpMs} after a successor's start.
         * Of 4 s: 1 s until the successor's process runs and is linked, 0.4 s of minimum uptime, 0.1 s to the next
         * check and 0.1 s for the change leave more than half for a vacant singleton role and for slow disks. The
         * heartbeat time-out and the wait for a replacement, 1 s each, run from the loss, at the latest from the
         * successor's start.
         */
        public static Timing ofCatchUp(double catchUpMs) {
            double replaceAfterMs = Math.min(MAX_REPLACE_AFTER_MS, catchUpMs * REPLACE_FRACTION_OF_CATCH_UP);
            return new Timing(HEARTBEAT_TIMEOUT_MS, MIN_UPTIME_MS, replaceAfterMs, BOOTSTRAP_GRACE_MS);
        }
    }

    /**
     * A control plane that has sent a heartbeat.
     *
     * @param acceptor its address and the identity of its disk
     * @param durable whether it has a disk: one without is an acceptor only until another can replace it
     * @param lastHeartbeatAtMs when its last heartbeat arrived
     * @param firstHeartbeatAtMs when the first one of that very identity arrived
     */
    public record PeerObservation(
            AcceptorId acceptor, boolean durable, double lastHeartbeatAtMs, double firstHeartbeatAtMs) {}

    private final Timing timing;
    private final Map<AcceptorId, Double> missingSinceMs = new HashMap<>();
    private double firstCallAtMs = Double.NaN;

    /** A placement that has observed nobody yet. */
    public AcceptorPlacement(Timing timing) {
        this.timing = timing;
    }

    /**
     * Returns the acceptors that there should be: those of the set where it is as it should be, or where a change of it
     * is not complete. Records which acceptors are missing; to be called at least a few times within {@link
     * Timing#replaceAfterMs}, also where nobody acts on the result.
     *
     * @param nowMs the time
     * @param set the acceptors in force
     * @param peers all control planes observed, this one among them
     */
    public List<AcceptorId> targetMembers(double nowMs, AcceptorSet set, Collection<PeerObservation> peers) {
        List<PeerObservation> live = peers.stream()
                .filter(peer -> nowMs - peer.lastHeartbeatAtMs() <= timing.heartbeatTimeoutMs())
                .toList();
        firstCallAtMs = Double.isNaN(firstCallAtMs) ? nowMs : firstCallAtMs;
        updateMissing(nowMs, set, live);
        if (set.isJoint()) {
            return set.members();
        }
        List<AcceptorId> spares = eligibleSpares(nowMs, set, live);
        List<AcceptorId> diskless = disklessMembers(set, peers);
        if (!diskless.isEmpty()) {
            return withoutDiskless(nowMs, set.members(), diskless, spares);
        }
        List<AcceptorId> repaired = repaired(nowMs, set.members(), spares);
        boolean complete = missingSinceMs.isEmpty();
        return complete && repaired.equals(set.members()) ? grown(set.members(), spares) : repaired;
    }

    private void updateMissing(double nowMs, AcceptorSet set, List<PeerObservation> live) {
        List<AcceptorId> present = live.stream().map(PeerObservation::acceptor).toList();
        missingSinceMs.keySet().retainAll(set.members());
        for (AcceptorId member : set.members()) {
            if (present.contains(member)) {
                missingSinceMs.remove(member);
            } else {
                missingSinceMs.putIfAbsent(member, nowMs);
            }
        }
    }

    private List<AcceptorId> eligibleSpares(double nowMs, AcceptorSet set, List<PeerObservation> live) {
        List<AcceptorId> spares = new ArrayList<>(live.stream()
                .filter(peer -> peer.durable() && nowMs - peer.firstHeartbeatAtMs() >= timing.minUptimeMs())
                .map(PeerObservation::acceptor)
                .toList());
        spares.removeAll(set.members());
        return spares;
    }

    private static List<AcceptorId> disklessMembers(AcceptorSet set, Collection<PeerObservation> peers) {
        List<AcceptorId> relays = peers.stream()
                .filter(peer -> !peer.durable())
                .map(PeerObservation::acceptor)
                .toList();
        return set.members().stream()
                .filter(member -> member.isVolatile() || relays.contains(member))
                .toList();
    }

    /**
     * Acceptors without a disk, which the first set may contain where the seeds name such processes, are replaced one
     * by one. Where there are no spares they are removed, once all that started together had the time for a heartbeat.
     */
    private List<AcceptorId> withoutDiskless(
            double nowMs, List<AcceptorId> members, List<AcceptorId> diskless, List<AcceptorId> spares) {
        if (!spares.isEmpty()) {
            return replaced(members, diskless.get(0), spares.get(0));
        }
        List<AcceptorId> durable = new ArrayList<>(members);
        durable.removeAll(diskless);
        boolean bootstrapped = nowMs - firstCallAtMs >= timing.bootstrapGraceMs();
        return bootstrapped && !durable.isEmpty() ? durable : members;
    }

    /** One replacement: a lost disk's first, as that acceptor is certain not to come back. */
    private List<AcceptorId> repaired(double nowMs, List<AcceptorId> members, List<AcceptorId> spares) {
        for (AcceptorId member : members) {
            for (AcceptorId spare : spares) {
                if (spare.address().equals(member.address())) {
                    return replaced(members, member, spare);
                }
            }
        }
        for (AcceptorId member : members) {
            double missingMs = nowMs - missingSinceMs.getOrDefault(member, nowMs);
            if (missingMs >= timing.replaceAfterMs() && !spares.isEmpty()) {
                return replaced(members, member, spares.get(0));
            }
        }
        return members;
    }

    private static List<AcceptorId> replaced(List<AcceptorId> members, AcceptorId lost, AcceptorId successor) {
        List<AcceptorId> target = new ArrayList<>(members);
        target.set(target.indexOf(lost), successor);
        return target;
    }

    /** Growth by as many as make the number odd; while an acceptor is missing the spares are for its place. */
    private static List<AcceptorId> grown(List<AcceptorId> members, List<AcceptorId> spares) {
        int size = Math.min(MAX_ACCEPTORS, members.size() + spares.size());
        size -= size % 2 == 0 ? 1 : 0;
        if (size <= members.size()) {
            return members;
        }
        List<AcceptorId> target = new ArrayList<>(members);
        target.addAll(spares.subList(0, size - members.size()));
        return target;
    }
}
