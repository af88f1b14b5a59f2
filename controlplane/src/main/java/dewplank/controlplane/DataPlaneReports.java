package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores which configuration each data plane last reported, and since when. Operators query all control planes and
 * compare the reports. The report of a data plane whose session has ended is retained for a day, unless it is evicted
 * because {@link #MAX_REPORTS} is reached. Times are in milliseconds of the loop's clock. Must be used on the loop's
 * thread only.
 */
final class DataPlaneReports {
    /** Maximum number of reports, equal to the maximum number of sessions. */
    static final int MAX_REPORTS = SessionTable.MAX_SESSIONS;

    /** Retention time of the report of a data plane without a session: one day. */
    static final double RETENTION_MS = 24 * 3_600_000.0;

    /**
     * The configuration version that one data plane reported.
     *
     * @param member the process
     * @param configurationVersion the version that it has applied; 0 if it has none
     * @param sinceMs time of its first heartbeat with that version
     * @param lastHeartbeatAtMs time of its last heartbeat
     * @param hasSession whether its session with this control plane is open
     */
    record Report(
            Member member, long configurationVersion, double sinceMs, double lastHeartbeatAtMs, boolean hasSession) {}

    private final Map<String, Report> reportsByNode = new HashMap<>();

    /** Records a heartbeat of a data plane. */
    void onHeartbeat(double nowMs, Member member, long configurationVersion) {
        Report last = reportsByNode.get(member.node);
        boolean isSame = last != null
                && last.configurationVersion() == configurationVersion
                && last.member().incarnation == member.incarnation;
        if (last == null && reportsByNode.size() >= MAX_REPORTS) {
            evictOldest();
        }
        double sinceMs = isSame ? last.sinceMs() : nowMs;
        reportsByNode.put(member.node, new Report(member, configurationVersion, sinceMs, nowMs, true));
    }

    /** A session has closed: marks the report accordingly, unless a newer process has reported for the same node. */
    void onSessionClosed(Member member) {
        reportsByNode.computeIfPresent(
                member.node,
                (node, last) -> last.member().equals(member)
                        ? new Report(
                                member, last.configurationVersion(), last.sinceMs(), last.lastHeartbeatAtMs(), false)
                        : last);
    }

    /** All retained reports, sorted by node name. */
    List<Report> reports(double nowMs) {
        reportsByNode
                .values()
                .removeIf(report -> !report.hasSession() && nowMs - report.lastHeartbeatAtMs() > RETENTION_MS);
        List<Report> reports = new ArrayList<>(reportsByNode.values());
        reports.sort(Comparator.comparing(report -> report.member().node));
        return reports;
    }

    private void evictOldest() {
        reportsByNode.values().stream()
                .min(Comparator.comparingDouble(Report::lastHeartbeatAtMs))
                .ifPresent(oldest -> reportsByNode.remove(oldest.member().node));
    }
}
