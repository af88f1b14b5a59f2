package dewplank.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Sessions of sidecars with control sidecars, as one control sidecar knows them: its own, each with a lease, and those
 * that others have told. A sidecar is a member while any session of its stands. Times in milliseconds.
 */
public final class SessionTable {
    /** Sessions held, beyond which none is opened: guards the memory of a small machine. */
    public static final int MAX_SESSIONS = 4_096;

    private record Told(double at, List<Member> sessions) {}

    private final double leaseMs;
    private final Map<Member, Double> own = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();

    /** A session that is not renewed for so long ends, and what another told counts for so long. */
    public SessionTable(double leaseMs) {
        this.leaseMs = leaseMs;
    }

    /** How long a session lasts without being renewed. */
    public double leaseMs() {
        return leaseMs;
    }

    /** Opens or renews a session here; false where there is no room. */
    public boolean tryRenew(double now, Member member) {
        if (own.size() >= MAX_SESSIONS && !own.containsKey(member)) {
            return false;
        }
        own.put(member, now);
        return true;
    }

    /** The session's connection has ended. */
    public void close(Member member) {
        own.remove(member);
    }

    /** Another control sidecar has told all the sessions that it holds. */
    public void onSessionsReported(double now, String controlAddress, List<Member> sessions) {
        told.put(controlAddress, new Told(now, List.copyOf(sessions)));
    }

    /** Whoever keeps this table heard nobody for so many milliseconds: no lease ran meanwhile. */
    public void extendLeases(double stalledMs) {
        own.replaceAll((member, at) -> at + stalledMs);
        told.replaceAll((address, t) -> new Told(t.at() + stalledMs, t.sessions()));
    }

    /** The sessions held here. */
    public List<Member> localSessions(double now) {
        own.values().removeIf(at -> now - at > leaseMs);
        return sorted(own.keySet());
    }

    /** All members: of several incarnations of one node the one heard last. */
    public List<Member> members(double now) {
        Map<String, Member> byNode = new HashMap<>();
        for (Iterator<Told> i = told.values().iterator(); i.hasNext(); ) {
            Told t = i.next();
            if (now - t.at() > leaseMs) {
                i.remove();
            } else {
                t.sessions().forEach(m -> byNode.merge(m.node, m, SessionTable::newer));
            }
        }
        localSessions(now).forEach(m -> byNode.merge(m.node, m, SessionTable::newer));
        return sorted(byNode.values());
    }

    private static Member newer(Member a, Member b) {
        return a.incarnation >= b.incarnation ? a : b;
    }

    private static List<Member> sorted(Collection<Member> members) {
        List<Member> list = new ArrayList<>(members);
        list.sort(Comparator.comparing(m -> m.node));
        return list;
    }

    /** A number that differs where the members do. */
    public static long digest(List<Member> members) {
        long digest = 1;
        for (Member m : members) {
            digest = digest * 0x9E3779B97F4A7C15L + m.hashCode();
        }
        return digest == 0 ? 1 : digest;
    }
}
