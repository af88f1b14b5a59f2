package dewplank.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Header fields in the order received; names are not case-sensitive. */
public final class Headers {
    /** Fields that apply to a single connection, or that a proxy generates itself. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length");

    /** A header field. */
    public record Field(String name, String value) {}

    private final List<Field> fields = new ArrayList<>();

    void add(String name, String value) {
        fields.add(new Field(name, value));
    }

    /** Number of fields; repeated ones count each time. */
    int size() {
        return fields.size();
    }

    /** Returns the value of a field, or null; the values of repeated fields are joined with commas. */
    public String get(String name) {
        String found = null;
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                found = found == null ? f.value() : found + ", " + f.value();
            }
        }
        return found;
    }

    /** Whether the field's list contains the token (in lower case), such as {@code close} in {@code Connection}. */
    public boolean containsToken(String name, String token) {
        String value = get(name);
        if (value == null) {
            return false;
        }
        for (String part : value.split(",")) {
            if (part.strip().toLowerCase(Locale.ROOT).equals(token)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the end-to-end fields, which are forwarded unchanged. */
    public List<Field> endToEnd() {
        List<Field> endToEnd = new ArrayList<>(fields.size());
        for (Field f : fields) {
            String name = f.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !containsToken("Connection", name)) {
                endToEnd.add(f);
            }
        }
        return endToEnd;
    }
}
