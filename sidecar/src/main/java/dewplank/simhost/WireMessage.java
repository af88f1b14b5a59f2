package dewplank.simhost;

import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import java.util.List;
import java.util.Map;

/** Typed access to the values of a message, by position. A value that is missing or has the wrong type is rejected. */
record WireMessage(String name, List<Object> values) {

    static WireMessage parse(String line) {
        List<Object> values = Json.array(line);
        if (values.isEmpty() || !(values.get(0) instanceof String name)) {
            throw new InvalidInputException("a message must start with its name");
        }
        return new WireMessage(name, values);
    }

    private Object at(int position) {
        return position < values.size() ? values.get(position) : null;
    }

    private <T> T require(int position, Class<T> type, String expected) {
        Object value = at(position);
        if (!type.isInstance(value)) {
            throw new InvalidInputException(name + ": value " + position + " should be " + expected);
        }
        return type.cast(value);
    }

    boolean has(int position) {
        return at(position) != null;
    }

    String text(int position) {
        return require(position, String.class, "text");
    }

    long integer(int position) {
        return require(position, Long.class, "an integer");
    }

    int nonNegative(int position) {
        long value = integer(position);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new InvalidInputException(name + ": value " + position + " is out of range");
        }
        return (int) value;
    }

    double number(int position) {
        return require(position, Number.class, "a number").doubleValue();
    }

    boolean flag(int position) {
        return require(position, Boolean.class, "true or false");
    }

    @SuppressWarnings("unchecked")
    List<Object> array(int position) {
        return require(position, List.class, "an array");
    }

    @SuppressWarnings("unchecked")
    Map<String, Object> object(int position) {
        return require(position, Map.class, "an object");
    }

    double[] numbersOrNull(int position) {
        if (!has(position)) {
            return null;
        }
        return array(position).stream()
                .mapToDouble(v -> {
                    if (v == null) {
                        return Double.NaN;
                    }
                    if (v instanceof Number n) {
                        return n.doubleValue();
                    }
                    throw new InvalidInputException(name + ": value " + position + " should contain numbers only");
                })
                .toArray();
    }
}
