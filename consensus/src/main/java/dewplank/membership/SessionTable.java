package dewplank.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The sessions of data planes with control planes as recorded by one control plane: its local sessions, each with a
 * lease, and the sessions reported by its peers. A data plane is a member while it has a session with any control
 * plane.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop. Times are in milliseconds of one monotonic clock.
 * No method throws, and none takes or returns null.
 */
public final class SessionTable {
    /** Maximum number of open local sessions; bounds the memory use on a small machine. */
    public static final int MAX_SESSIONS = 4_096;

    /** The result of a request to open or renew a session. */
    public enum Renewal {
        /** The session is open, with a new lease. */
        RENEWED,
        /** The session was not open, and {@link #MAX_SESSIONS} others are open; nothing changed. */
        REJECTED_MAX_SESSIONS
    }

    private record RemoteSessions(double reportedAtMs, List<Member> sessions) {}

    private final double leaseMs;
    private final Map<Member, Double> localRenewedAtMs = new HashMap<>();
    private final Map<String, RemoteSessions> remoteByAddress = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param leaseMs how long a session lasts without renewal, and how long a peer's report is valid
     */
    public SessionTable(double leaseMs) {
        this.leaseMs = leaseMs;
    }

    /** How long a session lasts without renewal. */
    public double leaseMs() {
        return leaseMs;
    }

    /** Opens or renews a local session; does not open one beyond {@link #MAX_SESSIONS}. */
    public Renewal renew(double nowMs, Member member) {
        if (localRenewedAtMs.size() >= MAX_SESSIONS && !localRenewedAtMs.containsKey(member)) {
            return Renewal.REJECTED_MAX_SESSIONS;
        }
        localRenewedAtMs.put(member, nowMs);
        return Renewal.RENEWED;
    }

    /** Closes a local session whose connection is closed. */
    public void close(Member member) {
        localRenewedAtMs.remove(member);
    }

    /**
     * Handles a peer's report of all its local sessions, which replaces its earlier report.
     *
     * @param nowMs the time
     * @param controlAddress the address of the peer
     * @param sessions its sessions
     */
    public void onSessionsReported(double nowMs, String controlAddress, List<Member> sessions) {
        remoteByAddress.put(controlAddress, new RemoteSessions(nowMs, List.copyOf(sessions)));
    }

    /** Extends all leases by a period in which this process received nothing because it was suspended or busy. */
    public void extendLeases(double stalledMs) {
        localRenewedAtMs.replaceAll((member, renewedAtMs) -> renewedAtMs + stalledMs);
        remoteByAddress.replaceAll(
                (address, remote) -> new RemoteSessions(remote.reportedAtMs() + stalledMs, remote.sessions()));
    }

    /** The local sessions whose leases have not expired, sorted by node name. */
    public List<Member> localSessions(double nowMs) {
        localRenewedAtMs.values().removeIf(renewedAtMs -> nowMs - renewedAtMs > leaseMs);
        return sorted(localRenewedAtMs.keySet());
    }

    /** All members, sorted by node name; only the latest incarnation of each node. */
    public List<Member> members(double nowMs) {
        Map<String, Member> byNode = new HashMap<>();
        for (Iterator<RemoteSessions> reports = remoteByAddress.values().iterator(); reports.hasNext(); ) {
            RemoteSessions remote = reports.next();
            if (nowMs - remote.reportedAtMs() > leaseMs) {
                reports.remove();
            } else {
                remote.sessions().forEach(member -> byNode.merge(member.node, member, SessionTable::newer));
            }
        }
        localSessions(nowMs).forEach(member -> byNode.merge(member.node, member, SessionTable::newer));
        return sorted(byNode.values());
    }

    private static Member newer(Member one, Member other) {
        return one.incarnation >= other.incarnation ? one : other;
    }

    private static List<Member> sorted(Collection<Member> members) {
        List<Member> list = new ArrayList<>(members);
        list.sort(Comparator.comparing(member -> member.node));
        return list;
    }

    /** A digest of the members, which data planes send back. It differs for different members and is never 0. */
    public static long digest(List<Member> members) {
        long digest = 1;
        for (Member member : members) {
            digest = digest * 0x9E3779B97F4A7C15L + member.hashCode();
        }
        return digest == 0 ? 1 : digest;
    }
}
