package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonLiteral;
import dewplank.configuration.JsonValue.JsonNumber;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.math.BigDecimal;
import java.util.List;
import java.util.Optional;

/**
 * Reads the fields of a JSON object by type. A field that is null counts as absent. Errors contain the full path of the
 * field. Used for one call only.
 */
final class JsonObjectReader {
    /**
     * The maximum number of digits of a long. Larger numbers are not expanded, since expanding 1e999999999 would be
     * expensive.
     */
    private static final int MAX_LONG_DIGITS = 19;

    private final JsonObject object;
    private final String path;
    private final String element;

    /** Creates a reader of the object at the path. */
    JsonObjectReader(JsonObject object, String path) {
        this(object, path, null);
    }

    /** Creates a reader of an element of the list at the path; the full path is built only for an error. */
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

    /** Whether a field is present and not null. */
    boolean has(String field) {
        JsonValue value = object.members().get(field);
        return value != null && value != JsonLiteral.NULL;
    }

    /** A required string. */
    String stringValue(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            throw error(Reason.MISSING_FIELD, field, "is absent");
        }
        return stringValue(field, "");
    }

    /** A string, or the default if it is absent. */
    String stringValue(String field, String defaultValue) throws InvalidConfigurationException {
        if (!has(field)) {
            return defaultValue;
        }
        if (object.members().get(field) instanceof JsonString string) {
            return string.text();
        }
        throw error(Reason.WRONG_TYPE, field, "is not a string");
    }

    /** A boolean, or the default if it is absent. */
    boolean booleanValue(String field, boolean defaultValue) throws InvalidConfigurationException {
        if (!has(field)) {
            return defaultValue;
        }
        JsonValue value = object.members().get(field);
        if (value != JsonLiteral.TRUE && value != JsonLiteral.FALSE) {
            throw error(Reason.WRONG_TYPE, field, "is not true or false");
        }
        return value == JsonLiteral.TRUE;
    }

    /** A required number. */
    double doubleValue(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            throw error(Reason.MISSING_FIELD, field, "is absent");
        }
        return doubleValue(field, 0, Double.NEGATIVE_INFINITY);
    }

    /** A finite number of at least the minimum, or the default if it is absent. */
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

    /** An integer of at least the minimum, or the default if it is absent; larger values yield the largest int. */
    int intValue(String field, int defaultValue, int min) throws InvalidConfigurationException {
        return (int) Math.min(Integer.MAX_VALUE, longValue(field, defaultValue, min));
    }

    /** An integer of at least the minimum, or the default if it is absent. */
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

    /** The elements of an array; none if it is absent. */
    List<JsonValue> elements(String field) throws InvalidConfigurationException {
        if (!has(field)) {
            return List.of();
        }
        if (object.members().get(field) instanceof JsonArray array) {
            return array.elements();
        }
        throw error(Reason.WRONG_TYPE, field, "is not a list");
    }

    /** A reader of the object in a field; empty if it is absent. */
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

    /** Creates the error for a field; the caller throws it. */
    InvalidConfigurationException error(Reason reason, String field, String detail) {
        return new InvalidConfigurationException(reason, path(field), detail);
    }
}
