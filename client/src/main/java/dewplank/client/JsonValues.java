package dewplank.client;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;

/** JSON values as the settings' reader gives them: maps, lists, texts, longs, doubles, booleans, nulls. */
public final class JsonValues {
    private static final Gson GSON =
            new GsonBuilder().serializeNulls().disableHtmlEscaping().create();

    private JsonValues() {}

    /** The value as JSON in one line. */
    public static String text(Object value) {
        return GSON.toJson(plain(value));
    }

    /** Whole numbers are written without a fraction. */
    private static Object plain(Object value) {
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) <= Long.MAX_VALUE >> 10) {
            return d.longValue();
        }
        return value;
    }

    /** Whether both are the same value; 1 and 1.0 are. */
    static boolean same(Object one, Object other) {
        if (one instanceof Number a && other instanceof Number b) {
            return a.equals(b) || a.doubleValue() == b.doubleValue() && !(a instanceof Long && b instanceof Long);
        }
        if (one instanceof List<?> a && other instanceof List<?> b) {
            return sameLists(a, b);
        }
        if (one instanceof Map<?, ?> a && other instanceof Map<?, ?> b) {
            return a.keySet().equals(b.keySet()) && a.keySet().stream().allMatch(key -> same(a.get(key), b.get(key)));
        }
        return one == null ? other == null : one.equals(other);
    }

    private static boolean sameLists(List<?> one, List<?> other) {
        if (one.size() != other.size()) {
            return false;
        }
        for (int i = 0; i < one.size(); i++) {
            if (!same(one.get(i), other.get(i))) {
                return false;
            }
        }
        return true;
    }
}
