package dewplank.controlplane;

import java.util.List;

/** Formats the JSON of the operators' interface. */
final class JsonText {
    private JsonText() {}

    /** Formats an object with these fields. */
    static String object(String... fields) {
        return "{" + String.join(",", fields) + "}";
    }

    /** Formats an array of these values, which are JSON already. */
    static String array(List<String> values) {
        return "[" + String.join(",", values) + "]";
    }

    /** Formats a field whose value is a string, or null. */
    static String field(String name, String text) {
        return rawField(name, text == null ? "null" : quoted(text));
    }

    /** Formats a field whose value is JSON already: a number, true or false, an object or an array. */
    static String rawField(String name, Object json) {
        return quoted(name) + ":" + json;
    }

    /** Formats the text as a JSON string. */
    static String quoted(String text) {
        StringBuilder out = new StringBuilder(text.length() + 2).append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
