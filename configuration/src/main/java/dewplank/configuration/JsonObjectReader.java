package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonNumber;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import dewplank.configuration.JsonValue.JsonWord;
import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;

/**
 * Reads the fields of a JSON object by type. A field that is null counts as absent. Errors name the full path of the
 * field. Used by one call.
 */
final class JsonObjectReader {
    /** A long has 19 digits; numbers beyond are not expanded, as 1e999999999 must cost nothing. */
    private static final int MAX_LONG_DIGITS = 19;

    private final JsonObject object;
    private final String path;
    private final String element;

    /** A reader of the object at the path. */
    JsonObjectReader(JsonObject object, String path) {
        this(object, path, null);
    }

    /** A reader of an element of the list at the path; paths are put together only for an error. */
    JsonObjectReader(JsonObject object, String path, String element) {
        this.object = object;
        this.path = path;
        this.element = element;
    }

    /** The path of a field. */
    String path(String field) {
        if (element != null) {
            return path + "[" + element + "]." + field;
        }
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Whether a field is there and not null. */
    boolean has(String field) {
        JsonValue value = object.members().get(field);
        return value != null && value != JsonWord.NULL;
    }

    /** A required string. */
    String stringValue(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            throw error(Reason.MISSING_FIELD, field, "is absent");
        }
        return stringValue(field, "");
    }

    /** A string, or the default where it is absent. */
    String stringValue(String field, String defaultValue) throws InvalidConfigurationException {
        if (!has(field)) {
            return defaultValue;
        }
        if (object.members().get(field) instanceof JsonString string) {
            return string.text();
        }
        throw error(Reason.WRONG_TYPE, field, "is not a string");
    }

    /** A boolean, or the default where it is absent. */
    boolean booleanValue(String field, boolean defaultValue) throws InvalidConfigurationException {
        if (!has(field)) {
            return defaultValue;
        }
        JsonValue value = object.members().get(field);
        if (value != JsonWord.TRUE && value != JsonWord.FALSE) {
            throw error(Reason.WRONG_TYPE, field, "is not true or false");
        }
        return value == JsonWord.TRUE;
    }

    /** A required number. */
    double doubleValue(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            throw error(Reason.MISSING_FIELD, field, "is absent");
        }
        return doubleValue(field, 0, Double.NEGATIVE_INFINITY);
    }

    /** A finite number of at least the minimum, or the default where it is absent. */
    double doubleValue(String field, double defaultValue, double min) throws InvalidConfigurationException {
        if (!has(field)) {
            return defaultValue;
        }
        double value = Double.parseDouble(numeral(field));
        if (value < min || Double.isInfinite(value)) {
            throw error(Reason.OUT_OF_BOUNDS, field, "is out of bounds");
        }
        return value;
    }

    /** An integer of at least the minimum, or the default where it is absent; the largest int where it is above. */
    int intValue(String field, int defaultValue, int min) throws InvalidConfigurationException {
        return (int) Math.min(Integer.MAX_VALUE, longValue(field, defaultValue, min));
    }

    /** An integer of at least the minimum, or the default where it is absent. */
    long longValue(String field, long defaultValue, long min) throws InvalidConfigurationException {
        if (!has(field)) {
            return defaultValue;
        }
        long value = longValue(field);
        if (value < min) {
            throw error(Reason.OUT_OF_BOUNDS, field, "is below " + min);
        }
        return value;
    }

    private long longValue(String field) throws InvalidConfigurationException {
        String numeral = numeral(field);
        try {
            return Long.parseLong(numeral);
        } catch (NumberFormatException fractionOrExponent) {
            return parseExpanded(field, numeral);
        }
    }

    private long parseExpanded(String field, String numeral) throws InvalidConfigurationException {
        try {
            BigDecimal value = new BigDecimal(numeral);
            if (value.signum() == 0) {
                return 0;
            }
            if ((long) value.precision() - value.scale() > MAX_LONG_DIGITS) {
                throw error(Reason.OUT_OF_BOUNDS, field, "is out of bounds");
            }
            return value.longValueExact();
        } catch (ArithmeticException | NumberFormatException fraction) {
            throw error(Reason.WRONG_TYPE, field, "is not a whole number");
        }
    }

    private String numeral(String field) throws InvalidConfigurationException {
        if (object.members().get(field) instanceof JsonNumber number) {
            return number.text();
        }
        throw error(Reason.WRONG_TYPE, field, "is not a number");
    }

    /** The elements of an array; none where it is absent. */
    List<JsonValue> elements(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            return List.of();
        }
        if (object.members().get(field) instanceof JsonArray array) {
            return array.elements();
        }
        throw error(Reason.WRONG_TYPE, field, "is not a list");
    }

    /** A reader of the object in a field; empty where it is absent. */
    Optional<JsonObjectReader> object(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            return Optional.empty();
        }
        return Optional.of(ofValue(object.members().get(field), path(field)));
    }

    /** A reader of a value that must be an object. */
    static JsonObjectReader ofValue(JsonValue value, String path) throws InvalidConfigurationException {
        if (value instanceof JsonObject object) {
            return new JsonObjectReader(object, path);
        }
        throw new InvalidConfigurationException(Reason.WRONG_TYPE, path, "is not an object");
    }

    /** The item's name, which every item of a list must have. */
    String name() throws InvalidConfigurationException {
        String name = stringValue("name", "");
        if (name.isEmpty()) {
            throw error(Reason.MISSING_NAME, "name", "an item has no name");
        }
        return name;
    }

    /** The error for a field, to be thrown by the caller. */
    InvalidConfigurationException error(Reason reason, String field, String detail) {
        return new InvalidConfigurationException(reason, path(field), detail);
    }
}
