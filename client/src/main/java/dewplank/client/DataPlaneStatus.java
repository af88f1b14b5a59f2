package dewplank.client;

import dewplank.settings.Fields;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which configuration a data plane acts on, put together from what the control planes heard of it.
 *
 * @param node the name of its node
 * @param address where other processes of the fleet reach it, as IP:PORT
 * @param zone its zone; empty where it has none
 * @param configurationVersion the version that it reported last; 0 where it has none
 * @param sinceMs for how long it has been known to act on that version, in milliseconds
 * @param heartbeatAgeMs how long ago it was heard last, in milliseconds
 * @param hasSession whether it has a session with any of the control planes that answered
 */
record DataPlaneStatus(
        String node,
        String address,
        String zone,
        long configurationVersion,
        long sinceMs,
        long heartbeatAgeMs,
        boolean hasSession) {
    /** What the control planes' answers say of all data planes, by the name of the node. */
    static List<DataPlaneStatus> of(Collection<Fields> answers) {
        Map<String, DataPlaneStatus> byNode = new TreeMap<>();
        for (Fields answer : answers) {
            for (Fields report : answer.list("data_planes")) {
                DataPlaneStatus status = of(report);
                byNode.merge(status.node(), status, DataPlaneStatus::combined);
            }
        }
        return byNode.values().stream()
                .sorted(Comparator.comparing(DataPlaneStatus::node))
                .toList();
    }

    private static DataPlaneStatus of(Fields report) {
        return new DataPlaneStatus(
                report.text("node"),
                report.text("address"),
                report.text("zone", ""),
                report.integer("config_version"),
                report.integer("since_ms"),
                report.integer("heard_ms_ago"),
                report.flag("session"));
    }

    /** The one heard last counts; an earlier session may have seen the same version before. */
    private static DataPlaneStatus combined(DataPlaneStatus one, DataPlaneStatus other) {
        DataPlaneStatus newer = one.heartbeatAgeMs <= other.heartbeatAgeMs ? one : other;
        boolean isSame = one.configurationVersion == other.configurationVersion;
        return new DataPlaneStatus(
                newer.node,
                newer.address,
                newer.zone,
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
