package dewplank.client;

import dewplank.settings.Fields;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which configuration a data plane acts on, put together from what the control planes heard of it.
 *
 * @param node the name of its node
 * @param address where other processes of the fleet reach it, as IP:PORT
 * @param zone its zone; empty where it has none
 * @param incarnation differs from process to process at the node
 * @param configurationVersion the version that it reported last; 0 where it has none
 * @param sinceMs for how long it has been known to act on that version, in milliseconds
 * @param heartbeatAgeMs how long ago it was heard last, in milliseconds
 * @param hasSession whether it has a session with any of the control planes that answered
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
    /** What one control plane's answer says. */
    static List<DataPlaneStatus> reportedBy(Fields answer) {
        return answer.list("data_planes").stream().map(DataPlaneStatus::of).toList();
    }

    /** One for each data plane, by the name of the node, out of what all control planes said. */
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

    /** The one heard last counts; an earlier session of that process may have seen the version before. */
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

    /** What an operator has to know of it, next to the newest version that any control plane has. */
    String state(long newestVersion) {
        if (!hasSession) {
            return "not heard";
        }
        return configurationVersion < newestVersion ? "behind" : "current";
    }
}
