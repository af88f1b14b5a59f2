package dewplank.membership;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes which of the live control planes should be the register's acceptors. A lost disk is replaced by the identity
 * that now runs at its address, an unresponsive acceptor by a control plane that is not an acceptor yet, and the set
 * grows to an odd number of acceptors.
 *
 * <p>An unresponsive acceptor remains in the set if no spare can replace it: a smaller set tolerates fewer faults, and
 * the machine may return with its disk. If a spare can replace it, the replacement costs little even if the machine
 * returns later, because the returning acceptor then becomes a spare itself.
 *
 * <p>Does no I/O: the caller passes in the time and the observations, and proposes the result to the register. Not
 * thread-safe; the control plane calls it on its event loop. Times are in milliseconds of one monotonic clock. No
 * method throws, and none takes or returns null.
 */
public final class AcceptorPlacement {
    /**
     * Maximum number of acceptors. No deployment requires more to tolerate its faults, and with more acceptors each
     * change would wait for more disks.
     */
    public static final int MAX_ACCEPTORS = 9;

    /**
     * The timeouts of a placement, in milliseconds.
     *
     * @param heartbeatTimeoutMs how long a peer counts as live after its last heartbeat
     * @param minUptimeMs how long a new identity has to send heartbeats before it is eligible
     * @param replaceAfterMs how long an acceptor has to be missing before it is replaced
     * @param bootstrapGraceMs the time until all processes that started together with this one have sent a heartbeat
     */
    public record Timing(
            double heartbeatTimeoutMs, double minUptimeMs, double replaceAfterMs, double bootstrapGraceMs) {
        /**
         * Covers a simultaneous start of all processes: machines start within 0.3 s of each other, and on a slow
         * machine a process takes up to 2 s before it connects.
         */
        private static final double BOOTSTRAP_GRACE_MS = 5_000;

        private static final double HEARTBEAT_TIMEOUT_MS = 1_000; // three intervals of 300 ms and transmission
        /**
         * The uptime after which an identity is eligible. It is longer than a heartbeat interval and transmission, so
         * late messages of an earlier incarnation have arrived by then.
         */
        private static final double MIN_UPTIME_MS = 400;

        private static final double REPLACE_FRACTION_OF_CATCH_UP = 1 / 4.0;
        private static final double MAX_REPLACE_AFTER_MS = 2_000;

        /**
         * Returns the timeouts for a deployment in which the next loss may occur {@code catchUpMs} after the start of a
         * successor. With 4 s, the successor's process takes 1 s to start and connect, the minimum uptime is 0.4 s, and
         * the next check and the change take 0.1 s each. More than half of the time remains for a vacant singleton role
         * and for slow disks. The heartbeat timeout and the wait before a replacement, 1 s each, start at the loss, or
         * at the latest at the start of the successor.
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
     * @param durable whether it has a disk; one without a disk remains an acceptor only until a spare can replace it
     * @param lastHeartbeatAtMs the arrival time of its last heartbeat
     * @param firstHeartbeatAtMs the arrival time of the first heartbeat with this identity
     */
    public record PeerObservation(
            AcceptorId acceptor, boolean durable, double lastHeartbeatAtMs, double firstHeartbeatAtMs) {}

    private final Timing timing;
    private final Map<AcceptorId, Double> missingSinceMs = new HashMap<>();
    private double firstCallAtMs = Double.NaN;

    /** Creates a placement without any observations. */
    public AcceptorPlacement(Timing timing) {
        this.timing = timing;
    }

    /**
     * Returns the target acceptors, which are the current members if the set needs no change or is joint. Also records
     * which acceptors are missing, so it has to be called at least a few times within {@link Timing#replaceAfterMs},
     * even if the result is not used.
     *
     * @param nowMs the time
     * @param set the current acceptors
     * @param peers all observed control planes, including this one
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
        List<AcceptorId> repaired = withReplacement(nowMs, set.members(), spares);
        boolean isComplete = missingSinceMs.isEmpty();
        return isComplete && repaired.equals(set.members()) ? expand(set.members(), spares) : repaired;
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
        List<AcceptorId> disklessPeers = peers.stream()
                .filter(peer -> !peer.durable())
                .map(PeerObservation::acceptor)
                .toList();
        return set.members().stream()
                .filter(member -> member.isVolatile() || disklessPeers.contains(member))
                .toList();
    }

    /**
     * Replaces acceptors without a disk one by one. The first set contains them if the seeds name such processes. If
     * there is no spare, such acceptors are removed once all processes that started together have had time to send a
     * heartbeat.
     */
    private List<AcceptorId> withoutDiskless(
            double nowMs, List<AcceptorId> members, List<AcceptorId> diskless, List<AcceptorId> spares) {
        if (!spares.isEmpty()) {
            return replaceMember(members, diskless.get(0), spares.get(0));
        }
        List<AcceptorId> durable = new ArrayList<>(members);
        durable.removeAll(diskless);
        boolean isBootstrapped = nowMs - firstCallAtMs >= timing.bootstrapGraceMs();
        return isBootstrapped && !durable.isEmpty() ? durable : members;
    }

    /** Returns the members with at most one replacement, of a lost disk first because its acceptor cannot return. */
    private List<AcceptorId> withReplacement(double nowMs, List<AcceptorId> members, List<AcceptorId> spares) {
        for (AcceptorId member : members) {
            for (AcceptorId spare : spares) {
                if (spare.address().equals(member.address())) {
                    return replaceMember(members, member, spare);
                }
            }
        }
        for (AcceptorId member : members) {
            double missingMs = nowMs - missingSinceMs.getOrDefault(member, nowMs);
            if (missingMs >= timing.replaceAfterMs() && !spares.isEmpty()) {
                return replaceMember(members, member, spares.get(0));
            }
        }
        return members;
    }

    private static List<AcceptorId> replaceMember(List<AcceptorId> members, AcceptorId lost, AcceptorId successor) {
        List<AcceptorId> target = new ArrayList<>(members);
        target.set(target.indexOf(lost), successor);
        return target;
    }

    /**
     * Adds spares up to the largest possible odd number of acceptors. Not called while an acceptor is missing, because
     * the spares have to replace it.
     */
    private static List<AcceptorId> expand(List<AcceptorId> members, List<AcceptorId> spares) {
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
