package dewplank.client;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * One difference between two configurations.
 *
 * @param path   where it is, such as {@code routes[r-1].timeout_ms}
 * @param before the value before; null for what was added
 * @param after  the value after; null for what was removed
 */
public record Change(Kind kind, String path, Object before, Object after) {
    /** What happened to a value. */
    public enum Kind {
        /** It was not there before. */
        ADDED("+"),
        /** It is not there any more. */
        REMOVED("-"),
        /** It is another one. */
        CHANGED("~");

        private final String sign;

        Kind(String sign) {
            this.sign = sign;
        }
    }

    /** Returns its parts by name, for JSON. */
    public Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("change", kind.name().toLowerCase(Locale.ROOT));
        fields.put("path", path);
        fields.put("before", before);
        fields.put("after", after);
        return fields;
    }

    /** Returns it as one line of text. */
    public String line() {
        String values =
                switch (kind) {
                    case ADDED -> JsonValues.toJson(after);
                    case REMOVED -> JsonValues.toJson(before);
                    case CHANGED -> JsonValues.toJson(before) + " -> " + JsonValues.toJson(after);
                };
        return kind.sign + " " + path + " " + values;
    }
}
