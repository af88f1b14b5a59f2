package dewplank.membership;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the register's acceptors should be, worked out from which control sidecars are heard: one whose disk was lost is
 * replaced by the identity that lives at its address, one that fell silent by a control sidecar that is no acceptor
 * yet, and the set grows to an odd number of them. Pure: the caller gives the time and acts on the answer.
 *
 * <p>An acceptor that fell silent stays where nobody can take its place: a smaller set bears less, and the machine may
 * come back with its disk. Where somebody can, little is lost if it does come back: it takes the next free place.
 */
public final class AcceptorPlacement {
    /** More acceptors than this bear no loss that a deployment asks for, and each change waits for more disks. */
    public static final int MAX_ACCEPTORS = 9;

    /**
     * Times in milliseconds.
     *
     * @param heartbeatTimeoutMs heard within this: alive
     * @param minUptimeMs a newcomer heard for so long may take a place
     * @param replaceAfterMs an acceptor that has not been alive for so long gives its place up
     * @param bootstrapGraceMs whoever started together with this process has been heard by then
     */
    public record Timing(
            double heartbeatTimeoutMs, double minUptimeMs, double replaceAfterMs, double bootstrapGraceMs) {
        /** Machines start within 0.3 s of each other, a process takes up to 2 s on a slow one, then it is linked. */
        private static final double ALL_HEARD_MS = 5_000;

        private static final double LIVE_MS = 1_000; // three heartbeats of 300 ms and their way
        /** More than a heartbeat and its way: late words of an earlier life are overtaken by then. */
        private static final double SETTLED_MS = 400;

        private static final double GONE_PART = 1 / 4.0;
        private static final double LONGEST_GONE_MS = 2_000;

        /**
         * The times for a deployment in which the next loss may come {@code catchUpMs} after a successor's start. Of
         * 4 s: 1 s until the successor's process runs and is linked, 0.4 s to settle, 0.1 s to the next look and 0.1 s
         * for the change leave more than half for a duty that fell vacant and for slow disks. The silence of the lost
         * one, 1 s and 1 s, runs from its loss, at the latest from its successor's start.
         */
        public static Timing ofCatchUp(double catchUpMs) {
            return new Timing(LIVE_MS, SETTLED_MS, Math.min(LONGEST_GONE_MS, catchUpMs * GONE_PART), ALL_HEARD_MS);
        }
    }

    /**
     * A control sidecar that has been heard.
     *
     * @param acceptor its address and the identity of its disk
     * @param durable whether it has a disk: one without is an acceptor only until another can take its place
     * @param lastHeartbeatAtMs when it was last heard
     * @param firstHeartbeatAtMs since when that very identity has been heard
     */
    public record PeerObservation(
            AcceptorId acceptor, boolean durable, double lastHeartbeatAtMs, double firstHeartbeatAtMs) {}

    private final Timing timing;
    private final Map<AcceptorId, Double> missingSince = new HashMap<>();
    private double firstLook = Double.NaN;

    public AcceptorPlacement(Timing timing) {
        this.timing = timing;
    }

    /**
     * Notes who is missing; to be called at least a few times within {@link Timing#replaceAfterMs}, also where the
     * answer is not acted on.
     *
     * @param now the time
     * @param set the acceptors in force
     * @param seen control sidecars heard, this one among them
     * @return the acceptors that there should be: those of the set where it is as it should be or half changed
     */
    public List<AcceptorId> targetMembers(double now, AcceptorSet set, Collection<PeerObservation> seen) {
        List<PeerObservation> live = seen.stream()
                .filter(s -> now - s.lastHeartbeatAtMs() <= timing.heartbeatTimeoutMs())
                .toList();
        firstLook = Double.isNaN(firstLook) ? now : firstLook;
        noteMissing(now, set, live.stream().map(PeerObservation::acceptor).toList());
        if (set.isJoint()) {
            return set.members();
        }
        List<AcceptorId> settled = live.stream()
                .filter(s -> s.durable() && now - s.firstHeartbeatAtMs() >= timing.minUptimeMs())
                .map(PeerObservation::acceptor)
                .toList();
        List<AcceptorId> spare = new ArrayList<>(settled);
        spare.removeAll(set.members());
        List<AcceptorId> volatileMembers = seen.stream()
                .filter(s -> !s.durable() && set.members().contains(s.acceptor()))
                .map(PeerObservation::acceptor)
                .toList();
        if (!volatileMembers.isEmpty()) {
            return withoutVolatile(now, set.members(), volatileMembers, spare);
        }
        List<AcceptorId> replaced = replaced(now, set.members(), spare);
        boolean complete = missingSince.isEmpty();
        return complete && replaced.equals(set.members()) ? grown(set.members(), spare) : replaced;
    }

    /**
     * Acceptors without a disk, which the first set may hold where the seeds name such processes, make room one by one
     * for others; where there are no others they leave, once all that started together had the time to be heard.
     */
    private List<AcceptorId> withoutVolatile(
            double now, List<AcceptorId> members, List<AcceptorId> volatileMembers, List<AcceptorId> spare) {
        if (!spare.isEmpty()) {
            return replaced(members, volatileMembers.get(0), spare.get(0));
        }
        List<AcceptorId> durable = new ArrayList<>(members);
        durable.removeAll(volatileMembers);
        boolean allHeard = now - firstLook >= timing.bootstrapGraceMs();
        return allHeard && !durable.isEmpty() ? durable : members;
    }

    private void noteMissing(double now, AcceptorSet set, List<AcceptorId> live) {
        missingSince.keySet().retainAll(set.members());
        for (AcceptorId member : set.members()) {
            if (live.contains(member)) {
                missingSince.remove(member);
            } else {
                missingSince.putIfAbsent(member, now);
            }
        }
    }

    /** One replacement: a lost disk's first, as that acceptor is certain not to come back. */
    private List<AcceptorId> replaced(double now, List<AcceptorId> members, List<AcceptorId> spare) {
        for (AcceptorId member : members) {
            for (AcceptorId other : spare) {
                if (other.address().equals(member.address())) {
                    return replaced(members, member, other);
                }
            }
        }
        for (AcceptorId member : members) {
            double since = missingSince.getOrDefault(member, now);
            if (now - since >= timing.replaceAfterMs() && !spare.isEmpty()) {
                return replaced(members, member, spare.get(0));
            }
        }
        return members;
    }

    private static List<AcceptorId> replaced(List<AcceptorId> members, AcceptorId old, AcceptorId by) {
        List<AcceptorId> next = new ArrayList<>(members);
        next.set(next.indexOf(old), by);
        return next;
    }

    /** Growth by as many as make the number odd; while somebody is missing spares are for that place. */
    private static List<AcceptorId> grown(List<AcceptorId> members, List<AcceptorId> spare) {
        int size = Math.min(MAX_ACCEPTORS, members.size() + spare.size());
        size -= size % 2 == 0 ? 1 : 0;
        if (size <= members.size()) {
            return members;
        }
        List<AcceptorId> more = new ArrayList<>(members);
        more.addAll(spare.subList(0, size - members.size()));
        return more;
    }
}
