package dewplank.client;

import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Answers of control sidecars as text to read. */
public final class FleetText {
    private static final String NO_CLEAR_ANSWER = "no clear answer";

    private FleetText() {}

    private interface Reading {
        String of(Fields fields);
    }

    private static String read(Answer answer, Reading reading) {
        try {
            return reading.of(new Fields(answer.fields(), ""));
        } catch (InvalidInputException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE, "the answer of " + answer.address() + ": " + e.getMessage());
        }
    }

    /** Data planes and control sidecars that the answering one knows. */
    public static String members(Answer answer) {
        return read(answer, fields -> {
            TextTable table = new TextTable("KIND", "NODE", "ADDRESS", "ZONE");
            for (String kind : List.of("data", "control")) {
                for (Fields member : fields.list(kind)) {
                    table.row(kind, member.text("node"), member.text("address"), member.text("zone"));
                }
            }
            return "as known to " + fields.text("answered_by", answer.address()) + ", itself not listed\n" + table;
        });
    }

    /** The list of servers; those of one service where it is not null. */
    public static String servers(Answer answer, String service) {
        return read(answer, fields -> {
            List<Fields> servers = fields.list("servers").stream()
                    .filter(s -> service == null || service.equals(s.text("service")))
                    .toList();
            return "list " + fields.text("version") + "\n" + table(servers);
        });
    }

    /** One server. */
    public static String server(Answer answer) {
        return read(answer, fields -> table(List.of(fields)).toString());
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

    /** Who holds the duty of asking the platform for its list. */
    public static String duties(List<String> addresses, Map<String, Answer> answers) {
        TextTable table = new TextTable("ASKED", "NODE", "DUTY", "HELD THERE", "FENCING NUMBER");
        for (String address : addresses) {
            if (answers.containsKey(address)) {
                read(answers.get(address).orRefused(), fields -> {
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
                table.row(address, NO_CLEAR_ANSWER, "", "", "");
            }
        }
        return table.toString();
    }

    /** Quorum, version and acceptors as each control sidecar sees them. */
    public static String status(List<String> addresses, Map<String, Answer> answers) {
        TextTable table = new TextTable("ASKED", "NODE", "QUORUM", "CONFIGURATION", "ACCEPTORS");
        for (String address : addresses) {
            if (answers.containsKey(address)) {
                read(answers.get(address).orRefused(), fields -> {
                    String acceptors = fields.list("acceptors").stream()
                            .map(a -> a.text("address"))
                            .collect(Collectors.joining(" "));
                    table.row(
                            address, fields.text("node"), quorum(fields), fields.integer("config_version"), acceptors);
                    return "";
                });
            } else {
                table.row(address, NO_CLEAR_ANSWER, "", "", "");
            }
        }
        return table.toString();
    }

    /** A control sidecar that hears a quorum and has not caught up with it yet is behind. */
    private static String quorum(Fields status) {
        if (!status.flag("quorate")) {
            return "no";
        }
        return status.flag("current", true) ? "yes" : "behind";
    }

    /** The answers of several as one JSON object by address; null for one without. */
    public static String json(List<String> addresses, Map<String, Answer> answers) {
        return addresses.stream()
                .map(a -> JsonValues.text(a) + ":"
                        + (answers.containsKey(a) ? answers.get(a).text().strip() : "null"))
                .collect(Collectors.joining(",", "{", "}"));
    }
}
