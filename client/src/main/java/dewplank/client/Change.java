package dewplank.client;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * One difference between two configurations.
 *
 * @param path   the location of the value, such as {@code routes[r-1].timeout_ms}
 * @param before the previous value; null for an added value
 * @param after  the new value; null for a removed value
 */
public record Change(Kind kind, String path, Object before, Object after) {
    /** The kind of a difference. */
    public enum Kind {
        /** The value is only in the new configuration. */
        ADDED("+"),
        /** The value is only in the previous configuration. */
        REMOVED("-"),
        /** The two values differ. */
        CHANGED("~");

        private final String sign;

        Kind(String sign) {
            this.sign = sign;
        }
    }

    /** Returns the components by name, to be written as JSON. */
    public Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("change", kind.name().toLowerCase(Locale.ROOT));
        fields.put("path", path);
        fields.put("before", before);
        fields.put("after", after);
        return fields;
    }

    /** Returns the difference as one line of text. */
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
