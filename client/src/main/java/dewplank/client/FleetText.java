package dewplank.client;

import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Formats responses of control planes as text for operators. Headings and phrases belong to the command interface. */
public final class FleetText {
    private static final double MS_PER_SECOND = 1_000;
    private static final String NO_RESPONSE = "no clear answer";

    private FleetText() {}

    /** Formats a response; an error in reading it is reported with the address of the control plane. */
    private static <T> T format(ControlResponse response, Function<Fields, T> reader) {
        try {
            return reader.apply(new Fields(response.fields(), ""));
        } catch (InvalidInputException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE, "the response from " + response.address() + ": " + e.getMessage());
        }
    }

    /** Formats the members that the responding control plane lists. */
    public static String members(ControlResponse response) {
        return format(response, fields -> {
            TextTable table = new TextTable("KIND", "NODE", "ADDRESS", "ZONE");
            for (String kind : List.of("data", "control")) {
                for (Fields member : fields.list(kind)) {
                    table.row(kind, member.text("node"), member.text("address"), member.text("zone"));
                }
            }
            return "as known to " + fields.text("answered_by", response.address()) + ", itself not listed\n" + table;
        });
    }

    /** Formats the endpoint list, restricted to one service unless the service is null. */
    public static String servers(ControlResponse response, String service) {
        return format(response, fields -> {
            List<Fields> servers = fields.list("servers").stream()
                    .filter(s -> service == null || service.equals(s.text("service")))
                    .toList();
            return "list " + fields.text("version") + "\n" + table(servers);
        });
    }

    /** Formats one endpoint. */
    public static String server(ControlResponse response) {
        return format(response, fields -> table(List.of(fields)).toString());
    }

    private static TextTable table(List<Fields> servers) {
        TextTable table = new TextTable("INSTANCE", "SERVICE", "ADDRESS", "ZONE", "STAGE", "SLOTS", "STATE");
        for (Fields s : servers) {
            table.row(
                    s.text("instance_id"),
                    s.text("service"),
                    s.text("address"),
                    s.text("zone"),
                    s.text("stage", "-"),
                    s.integer("slot_count"),
                    s.flag("draining") ? "draining" : "ready");
        }
        return table;
    }

    /** Formats whether each control plane reports that it holds the lease of the role that polls the platform. */
    public static String duties(List<String> addresses, Map<String, ControlResponse> responses) {
        TextTable table = new TextTable("ASKED", "NODE", "DUTY", "HELD THERE", "FENCING NUMBER");
        for (String address : addresses) {
            if (responses.containsKey(address)) {
                format(responses.get(address).requireSuccess(), fields -> {
                    Fields list = fields.requireObject("list");
                    table.row(
                            address,
                            fields.text("answered_by", ""),
                            "list",
                            list.flag("held_here") ? "yes" : "no",
                            list.integer("fencing_number"));
                    return "";
                });
            } else {
                table.row(address, NO_RESPONSE, "", "", "");
            }
        }
        return table.toString();
    }

    /** Formats the quorum, version and acceptors that each control plane reports. */
    public static String status(List<String> addresses, Map<String, ControlResponse> responses) {
        TextTable table = new TextTable("ASKED", "NODE", "QUORUM", "CONFIGURATION", "ACCEPTORS");
        for (String address : addresses) {
            if (responses.containsKey(address)) {
                format(responses.get(address).requireSuccess(), fields -> {
                    String acceptors = fields.list("acceptors").stream()
                            .map(a -> a.text("address"))
                            .collect(Collectors.joining(" "));
                    table.row(
                            address, fields.text("node"), quorum(fields), fields.integer("config_version"), acceptors);
                    return "";
                });
            } else {
                table.row(address, NO_RESPONSE, "", "", "");
            }
        }
        return table.toString();
    }

    /**
     * Formats the configuration version that each data plane uses, since when, and whether it lags or has no session.
     *
     * @param responses of the control planes to {@code /data-planes}; unsuccessful responses are skipped, as control
     *     planes of earlier versions don't have this path
     */
    public static String dataPlanes(Map<String, ControlResponse> responses) {
        List<DataPlaneStatus> reports = new ArrayList<>();
        long newest = 0;
        for (ControlResponse response : responses.values()) {
            if (response.isSuccess()) {
                reports.addAll(format(response, DataPlaneStatus::reportedBy));
                newest = Math.max(newest, format(response, fields -> fields.integer("config_version")));
            }
        }
        TextTable table =
                new TextTable("DATA PLANE", "ADDRESS", "ZONE", "CONFIGURATION", "SINCE S", "HEARD S", "STATE");
        for (DataPlaneStatus status : DataPlaneStatus.combined(reports)) {
            table.row(
                    status.node(),
                    status.address(),
                    status.zone(),
                    status.configurationVersion(),
                    seconds(status.sinceMs()),
                    seconds(status.heartbeatAgeMs()),
                    status.state(newest));
        }
        return table.toString();
    }

    private static String seconds(long ms) {
        return String.format(Locale.ROOT, "%.1f", ms / MS_PER_SECOND);
    }

    /** Formats the responses to {@code /status}, each with the data planes that the same control plane reports. */
    public static String statusJson(
            List<String> addresses, Map<String, ControlResponse> responses, Map<String, ControlResponse> dataPlanes) {
        List<String> statuses = new ArrayList<>();
        for (String address : addresses) {
            statuses.add(
                    JsonValues.toJson(address) + ":" + statusJson(responses.get(address), dataPlanes.get(address)));
        }
        return "{" + String.join(",", statuses) + "}";
    }

    private static String statusJson(ControlResponse response, ControlResponse dataPlanes) {
        if (response == null) {
            return "null";
        }
        String status = response.text().strip();
        if (!response.isSuccess() || dataPlanes == null || !dataPlanes.isSuccess()) {
            return status;
        }
        String reports = JsonValues.toJson(dataPlanes.fields().get("data_planes"));
        return status.substring(0, status.lastIndexOf('}')) + ",\"data_planes\":" + reports + "}";
    }

    /** Returns "behind" for a control plane that reaches a quorum but doesn't have the current configuration. */
    private static String quorum(Fields status) {
        if (!status.flag("quorate")) {
            return "no";
        }
        return status.flag("current", true) ? "yes" : "behind";
    }

    /** Formats the responses as one JSON object by address, with null for an address without a response. */
    public static String json(List<String> addresses, Map<String, ControlResponse> responses) {
        return addresses.stream()
                .map(a -> JsonValues.toJson(a) + ":"
                        + (responses.containsKey(a) ? responses.get(a).text().strip() : "null"))
                .collect(Collectors.joining(",", "{", "}"));
    }
}
