package dewplank.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Typed access to the values of a JSON object by key. Errors name the key that is missing or of the wrong type. */
public final class Fields {
    private final Map<String, Object> fields;
    private final String path;

    /** Creates an accessor; error messages put {@code path} in front of each key. */
    public Fields(Map<String, Object> fields, String path) {
        this.fields = fields;
        this.path = path;
    }

    public InvalidInputException wrongType(String key, String expected) {
        if (fields.get(key) == null) {
            return new InvalidInputException(ResultCode.KEY_MISSING, path + key + " is missing");
        }
        return new InvalidInputException(ResultCode.KEY_OF_WRONG_TYPE, path + key + " should be " + expected);
    }

    /** Creates the error for a value of the right type that is not allowed. */
    public InvalidInputException outOfRange(String key, String expected) {
        return new InvalidInputException(ResultCode.KEY_OUT_OF_RANGE, path + key + " should be " + expected);
    }

    public String text(String key) {
        if (fields.get(key) instanceof String s) {
            return s;
        }
        throw wrongType(key, "text");
    }

    public String text(String key, String defaultValue) {
        return fields.get(key) == null ? defaultValue : text(key);
    }

    public double number(String key) {
        if (fields.get(key) instanceof Number n) {
            return n.doubleValue();
        }
        throw wrongType(key, "a number");
    }

    public double number(String key, double defaultValue) {
        return fields.get(key) == null ? defaultValue : number(key);
    }

    public double positive(String key) {
        double value = number(key);
        if (value > 0) {
            return value;
        }
        throw outOfRange(key, "a number above 0");
    }

    /** Returns a number that must be at least {@code minimum}. */
    public double atLeast(String key, long minimum) {
        double value = number(key);
        if (value >= minimum) {
            return value;
        }
        throw outOfRange(key, "a number not below " + minimum);
    }

    public double atLeast(String key, long minimum, double defaultValue) {
        return fields.get(key) == null ? defaultValue : atLeast(key, minimum);
    }

    /** Returns a whole number; numbers of more than 64 bits are rejected. */
    public long integer(String key) {
        if (fields.get(key) instanceof Long n) {
            return n;
        }
        throw wrongType(key, "a whole number");
    }

    /** Returns the object that is the value of a required key. */
    public Fields requireObject(String key) {
        if (fields.get(key) == null) {
            throw wrongType(key, "an object");
        }
        return optionalObject(key);
    }

    public boolean flag(String key) {
        if (fields.get(key) instanceof Boolean b) {
            return b;
        }
        throw wrongType(key, "true or false");
    }

    public boolean flag(String key, boolean defaultValue) {
        return fields.get(key) == null ? defaultValue : flag(key);
    }

    public <T> T choice(String key, Map<String, T> choices) {
        T choice = choices.get(text(key));
        if (choice == null) {
            throw outOfRange(key, "one of " + String.join(", ", new TreeSet<>(choices.keySet())));
        }
        return choice;
    }

    public Fields optionalObject(String key) {
        if (fields.get(key) == null) {
            return new Fields(Map.of(), path + key + ".");
        }
        return nested(fields.get(key), key);
    }

    private Fields nested(Object value, String key) {
        if (value instanceof Map<?, ?> m) {
            @SuppressWarnings("unchecked")
            Map<String, Object> inner = (Map<String, Object>) m;
            return new Fields(inner, path + key + ".");
        }
        throw wrongType(key, "an object");
    }

    public List<Fields> list(String key) {
        if (!(fields.get(key) instanceof List<?> l)) {
            throw wrongType(key, "an array");
        }
        List<Fields> parts = new ArrayList<>();
        for (int i = 0; i < l.size(); i++) {
            parts.add(nested(l.get(i), key + "[" + i + "]"));
        }
        return parts;
    }

    /** Returns the elements of an array, in order, as fields with the keys {@code key[0]}, {@code key[1]} and so on. */
    public Fields elements(String key) {
        if (!(fields.get(key) instanceof List<?> l)) {
            throw wrongType(key, "an array");
        }
        Map<String, Object> elements = new LinkedHashMap<>();
        for (int i = 0; i < l.size(); i++) {
            elements.put(key + "[" + i + "]", l.get(i));
        }
        return new Fields(elements, path);
    }

    public Set<String> keys() {
        return fields.keySet();
    }

    public List<String> strings(String key) {
        List<String> texts = new ArrayList<>();
        if (fields.get(key) instanceof List<?> l) {
            for (Object o : l) {
                texts.add(String.valueOf(o));
            }
        }
        return texts;
    }
}
