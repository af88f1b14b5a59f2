package dewplank.http;

import java.util.List;

/** The {@code Cookie} fields of a request (RFC 6265, section 4.2). */
public final class Cookies {
    private Cookies() {}

    /**
     * Returns the value of the cookie with this name, unchanged. Returns null if there is none, if two cookies of that
     * name have different values, since neither is known to be right, or if the value contains a character that is not
     * allowed in cookie values.
     */
    public static String value(List<Headers.Field> fields, String name) {
        String found = null;
        for (Headers.Field f : fields) {
            if (!f.name().equalsIgnoreCase("Cookie")) {
                continue;
            }
            for (String pair : f.value().split(";")) {
                int equals = pair.indexOf('=');
                if (equals < 0 || !pair.substring(0, equals).strip().equals(name)) {
                    continue;
                }
                String value = pair.substring(equals + 1).strip();
                if (!value.chars().allMatch(Cookies::isAllowed) || found != null && !found.equals(value)) {
                    return null;
                }
                found = value;
            }
        }
        return found == null || found.isEmpty() ? null : found;
    }

    /** Visible ASCII except comma, semicolon and backslash; quotes around a value are treated as part of it. */
    private static boolean isAllowed(int c) {
        return c > ' ' && c < 0x7f && c != ',' && c != ';' && c != '\\';
    }
}
