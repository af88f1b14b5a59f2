package dewplank.client;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;

/** Writes and compares JSON values as {@code Json} parses them: maps, lists, strings, numbers and booleans. */
public final class JsonValues {
    private static final Gson GSON =
            new GsonBuilder().serializeNulls().disableHtmlEscaping().create();

    private JsonValues() {}

    /** Returns the value as one line of JSON. */
    public static String toJson(Object value) {
        return GSON.toJson(withoutFraction(value));
    }

    /** Converts integral doubles so that they are written without decimal places. */
    private static Object withoutFraction(Object value) {
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) <= Long.MAX_VALUE >> 10) {
            return d.longValue();
        }
        return value;
    }

    /** Whether the values are equal; 1 and 1.0 count as equal. */
    static boolean areEqual(Object one, Object other) {
        if (one instanceof Number a && other instanceof Number b) {
            return a.equals(b) || a.doubleValue() == b.doubleValue() && !(a instanceof Long && b instanceof Long);
        }
        if (one instanceof List<?> a && other instanceof List<?> b) {
            return areEqualLists(a, b);
        }
        if (one instanceof Map<?, ?> a && other instanceof Map<?, ?> b) {
            return a.keySet().equals(b.keySet())
                    && a.keySet().stream().allMatch(key -> areEqual(a.get(key), b.get(key)));
        }
        return one == null ? other == null : one.equals(other);
    }

    private static boolean areEqualLists(List<?> one, List<?> other) {
        if (one.size() != other.size()) {
            return false;
        }
        for (int i = 0; i < one.size(); i++) {
            if (!areEqual(one.get(i), other.get(i))) {
                return false;
            }
        }
        return true;
    }
}
