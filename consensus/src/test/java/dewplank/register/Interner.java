package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Gives equal things one number; numbers begin with 1. */
final class Interner<T> {
    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<T> things = new ArrayList<>();

    int number(String print, T thing) {
        Integer known = numbers.get(print);
        if (known != null) {
            return known;
        }
        things.add(thing);
        numbers.put(print, things.size());
        return things.size();
    }

    T get(int number) {
        return things.get(number - 1);
    }

    int size() {
        return things.size();
    }
}
