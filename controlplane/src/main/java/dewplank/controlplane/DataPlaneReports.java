package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which configuration each data plane reported last, and since when: for operators, who ask all control planes and
 * compare. A data plane whose session ended stays for a day, as far as there is room. Times are in milliseconds of the
 * loop's clock; on its thread only.
 */
final class DataPlaneReports {
    /** As many as there may be sessions. */
    static final int MAX_REPORTS = SessionTable.MAX_SESSIONS;

    static final double RETENTION_MS = 24 * 3_600_000.0;

    /**
     * What one data plane reported.
     *
     * @param member the process
     * @param configurationVersion the version that it acts on; 0 where it has none
     * @param sinceMs when it reported that version for the first time
     * @param lastHeartbeatAtMs when it reported it last
     * @param hasSession whether its session with this control plane is open
     */
    record Report(
            Member member, long configurationVersion, double sinceMs, double lastHeartbeatAtMs, boolean hasSession) {}

    private final Map<String, Report> reportsByNode = new HashMap<>();

    /** A heartbeat of the data plane arrived. */
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

    /** The session of that very process has ended. */
    void sessionEnded(Member member) {
        reportsByNode.computeIfPresent(
                member.node,
                (node, last) -> last.member().equals(member)
                        ? new Report(
                                member, last.configurationVersion(), last.sinceMs(), last.lastHeartbeatAtMs(), false)
                        : last);
    }

    /** All reports that are kept, by the name of the node. */
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
