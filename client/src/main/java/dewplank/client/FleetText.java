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

/** Formats responses of control planes as text for operators. Column headings and phrases are part of the commands. */
public final class FleetText {
    private static final double MS_PER_SECOND = 1_000;
    private static final String NO_RESPONSE = "no clear answer";

    private FleetText() {}

    /** What an answer says; an answer that can't be read is reported with its address. */
    private static <T> T format(ControlResponse answer, Function<Fields, T> reader) {
        try {
            return reader.apply(new Fields(answer.fields(), ""));
        } catch (InvalidInputException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE, "the answer of " + answer.address() + ": " + e.getMessage());
        }
    }

    /** Formats the membership as the responding control plane knows it. */
    public static String members(ControlResponse answer) {
        return format(answer, fields -> {
            TextTable table = new TextTable("KIND", "NODE", "ADDRESS", "ZONE");
            for (String kind : List.of("data", "control")) {
                for (Fields member : fields.list(kind)) {
                    table.row(kind, member.text("node"), member.text("address"), member.text("zone"));
                }
            }
            return "as known to " + fields.text("answered_by", answer.address()) + ", itself not listed\n" + table;
        });
    }

    /** Formats the endpoint list; only the endpoints of one service unless it is null. */
    public static String servers(ControlResponse answer, String service) {
        return format(answer, fields -> {
            List<Fields> servers = fields.list("servers").stream()
                    .filter(s -> service == null || service.equals(s.text("service")))
                    .toList();
            return "list " + fields.text("version") + "\n" + table(servers);
        });
    }

    /** Formats one endpoint. */
    public static String server(ControlResponse answer) {
        return format(answer, fields -> table(List.of(fields)).toString());
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

    /** Formats the lease holder of the singleton role that polls the platform, as each control plane sees it. */
    public static String duties(List<String> addresses, Map<String, ControlResponse> answers) {
        TextTable table = new TextTable("ASKED", "NODE", "DUTY", "HELD THERE", "FENCING NUMBER");
        for (String address : addresses) {
            if (answers.containsKey(address)) {
                format(answers.get(address).requireSuccess(), fields -> {
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

    /** Formats quorum, version and acceptors as each control plane sees them. */
    public static String status(List<String> addresses, Map<String, ControlResponse> answers) {
        TextTable table = new TextTable("ASKED", "NODE", "QUORUM", "CONFIGURATION", "ACCEPTORS");
        for (String address : addresses) {
            if (answers.containsKey(address)) {
                format(answers.get(address).requireSuccess(), fields -> {
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
     * Formats which configuration each data plane acts on, since when, and who lags or is not heard.
     *
     * @param answers of the control planes to {@code /data-planes}; those of earlier versions, which have no such path,
     *     are left out
     */
    public static String dataPlanes(Map<String, ControlResponse> answers) {
        List<DataPlaneStatus> reports = new ArrayList<>();
        long newest = 0;
        for (ControlResponse answer : answers.values()) {
            if (answer.isSuccess()) {
                reports.addAll(format(answer, DataPlaneStatus::reportedBy));
                newest = Math.max(newest, format(answer, fields -> fields.integer("config_version")));
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

    /** Formats the answers to {@code /status}, each with what the same control plane says of data planes. */
    public static String statusJson(
            List<String> addresses, Map<String, ControlResponse> answers, Map<String, ControlResponse> dataPlanes) {
        List<String> statuses = new ArrayList<>();
        for (String address : addresses) {
            statuses.add(JsonValues.toJson(address) + ":" + statusJson(answers.get(address), dataPlanes.get(address)));
        }
        return "{" + String.join(",", statuses) + "}";
    }

    private static String statusJson(ControlResponse answer, ControlResponse dataPlanes) {
        if (answer == null) {
            return "null";
        }
        String status = answer.text().strip();
        if (!answer.isSuccess() || dataPlanes == null || !dataPlanes.isSuccess()) {
            return status;
        }
        String reports = JsonValues.toJson(dataPlanes.fields().get("data_planes"));
        return status.substring(0, status.lastIndexOf('}')) + ",\"data_planes\":" + reports + "}";
    }

    /** A control plane that reaches a quorum but lags its configuration is behind. */
    private static String quorum(Fields status) {
        if (!status.flag("quorate")) {
            return "no";
        }
        return status.flag("current", true) ? "yes" : "behind";
    }

    /** Formats the responses as one JSON object by address, with null for an address without a response. */
    public static String json(List<String> addresses, Map<String, ControlResponse> answers) {
        return addresses.stream()
                .map(a -> JsonValues.toJson(a) + ":"
                        + (answers.containsKey(a) ? answers.get(a).text().strip() : "null"))
                .collect(Collectors.joining(",", "{", "}"));
    }
}
