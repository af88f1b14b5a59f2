package dewplank.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Header fields in the order they came; names are looked up whatever their case. */
public final class Headers {
    /** Those that speak of one connection, or that each side writes for itself. */
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

    /** One field. */
    public record Field(String name, String value) {}

    private final List<Field> fields = new ArrayList<>();

    void add(String name, String value) {
        fields.add(new Field(name, value));
    }

    /** The value, or null; the values of a field that comes more than once, with commas between. */
    public String get(String name) {
        String found = null;
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                found = found == null ? f.value() : found + ", " + f.value();
            }
        }
        return found;
    }

    /** Whether the field lists the token (in lower case), as {@code Connection: close} does. */
    public boolean lists(String name, String token) {
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

    /** What is meant for the other end, to be passed on as it came. */
    public List<Field> endToEnd() {
        List<Field> endToEnd = new ArrayList<>(fields.size());
        for (Field f : fields) {
            String name = f.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !lists("Connection", name)) {
                endToEnd.add(f);
            }
        }
        return endToEnd;
    }
}
