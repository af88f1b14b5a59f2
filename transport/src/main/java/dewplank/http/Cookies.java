package dewplank.http;

import java.util.List;

/** The {@code Cookie} fields of a request (RFC 6265, section 4.2). */
public final class Cookies {
    private Cookies() {}

    /**
     * The value of the cookie with this name as it stands, or null: where there is none, where two of that name
     * differ, so that neither can be told for the right one, or where it holds what no cookie's value may.
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
                if (!value.chars().allMatch(Cookies::allowed) || found != null && !found.equals(value)) {
                    return null;
                }
                found = value;
            }
        }
        return found == null || found.isEmpty() ? null : found;
    }

    /**
     * Visible ASCII but comma, semicolon and backslash; the quotes that may stand round a value are part of it here.
     */
    private static boolean allowed(int c) {
        return c > ' ' && c < 0x7f && c != ',' && c != ';' && c != '\\';
    }
}
