package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns the same number to equal values; numbers start at 1. */
final class Interner<T> {
    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<T> values = new ArrayList<>();

    int number(String print, T value) {
        Integer number = numbers.get(print);
        if (number != null) {
            return number;
        }
        values.add(value);
        numbers.put(print, values.size());
        return values.size();
    }

    T get(int number) {
        return values.get(number - 1);
    }

    int size() {
        return values.size();
    }
}
