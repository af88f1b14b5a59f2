package dewplank.client;

import dewplank.settings.Fields;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration version that a data plane uses, combined from the reports of the control planes.
 *
 * @param node the name of its node
 * @param address its address for other processes of the fleet, as IP:PORT
 * @param zone its zone; empty if it has none
 * @param incarnation the incarnation of its process, which differs between the successive processes of a node
 * @param configurationVersion the version that it reported last; 0 if it has no configuration
 * @param sinceMs how long it has been reporting that version, in milliseconds
 * @param heartbeatAgeMs the time since its last heartbeat, in milliseconds
 * @param hasSession whether it has a session with any of the control planes that responded
 */
record DataPlaneStatus(
        String node,
        String address,
        String zone,
        long incarnation,
        long configurationVersion,
        long sinceMs,
        long heartbeatAgeMs,
        boolean hasSession) {
    /** Returns the data planes that the response of one control plane reports. */
    static List<DataPlaneStatus> reportedBy(Fields response) {
        return response.list("data_planes").stream().map(DataPlaneStatus::of).toList();
    }

    /** Combines the reports of all control planes into one status for each data plane, sorted by node name. */
    static List<DataPlaneStatus> combined(List<DataPlaneStatus> reports) {
        Map<String, DataPlaneStatus> byNode = new TreeMap<>();
        reports.forEach(report -> byNode.merge(report.node, report, DataPlaneStatus::combined));
        return List.copyOf(byNode.values());
    }

    private static DataPlaneStatus of(Fields report) {
        return new DataPlaneStatus(
                report.text("node"),
                report.text("address"),
                report.text("zone", ""),
                report.integer("incarnation"),
                report.integer("config_version"),
                report.integer("since_ms"),
                report.integer("heard_ms_ago"),
                report.flag("session"));
    }

    /**
     * Combines two reports about a node; the one with the later heartbeat takes precedence. If both are about the same
     * process and version, the longer duration is used, as that process may have received the version in an earlier
     * session.
     */
    private static DataPlaneStatus combined(DataPlaneStatus one, DataPlaneStatus other) {
        DataPlaneStatus newer = one.heartbeatAgeMs <= other.heartbeatAgeMs ? one : other;
        boolean isSame = one.configurationVersion == other.configurationVersion && one.incarnation == other.incarnation;
        return new DataPlaneStatus(
                newer.node,
                newer.address,
                newer.zone,
                newer.incarnation,
                newer.configurationVersion,
                isSame ? Math.max(one.sinceMs, other.sinceMs) : newer.sinceMs,
                newer.heartbeatAgeMs,
                one.hasSession || other.hasSession);
    }

    /** Returns the state shown to operators, compared with the newest version that any control plane has. */
    String state(long newestVersion) {
        if (!hasSession) {
            return "not heard";
        }
        return configurationVersion < newestVersion ? "behind" : "current";
    }
}
