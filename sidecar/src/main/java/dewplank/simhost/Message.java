package dewplank.simhost;

import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import java.util.List;
import java.util.Map;

/** Typed access to one message's values, by position. A value missing or of another type is bad input. */
record Message(String name, List<Object> values) {

    static Message of(String line) {
        List<Object> values = Json.array(line);
        if (values.isEmpty() || !(values.get(0) instanceof String name)) {
            throw new InvalidInputException("a message starts with its name");
        }
        return new Message(name, values);
    }

    private Object at(int i) {
        return i < values.size() ? values.get(i) : null;
    }

    private <T> T need(int i, Class<T> type, String what) {
        Object value = at(i);
        if (!type.isInstance(value)) {
            throw new InvalidInputException(name + ": value " + i + " should be " + what);
        }
        return type.cast(value);
    }

    boolean has(int i) {
        return at(i) != null;
    }

    String text(int i) {
        return need(i, String.class, "text");
    }

    long integer(int i) {
        return need(i, Long.class, "an integer");
    }

    int small(int i) {
        long value = integer(i);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new InvalidInputException(name + ": value " + i + " is out of range");
        }
        return (int) value;
    }

    double number(int i) {
        return need(i, Number.class, "a number").doubleValue();
    }

    boolean flag(int i) {
        return need(i, Boolean.class, "true or false");
    }

    @SuppressWarnings("unchecked")
    List<Object> array(int i) {
        return need(i, List.class, "an array");
    }

    @SuppressWarnings("unchecked")
    Map<String, Object> object(int i) {
        return need(i, Map.class, "an object");
    }

    double[] numbersOrNull(int i) {
        if (!has(i)) {
            return null;
        }
        return array(i).stream()
                .mapToDouble(v -> {
                    if (v == null) {
                        return Double.NaN;
                    }
                    if (v instanceof Number n) {
                        return n.doubleValue();
                    }
                    throw new InvalidInputException(name + ": value " + i + " should hold numbers");
                })
                .toArray();
    }
}
