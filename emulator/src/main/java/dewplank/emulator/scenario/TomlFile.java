package dewplank.emulator.scenario;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Strict reading of a TOML file: every key must be known, of its type and within its range. A fault is reported with
 * file, line and key before anything runs. Read all that a table may hold, then call {@link Table#rejectUnknownKeys}.
 */
public final class TomlFile {
    private final String file;

    private TomlFile(String file) {
        this.file = file;
    }

    /** Reads and parses a file. */
    public static Table read(Path path) {
        try {
            return read(Files.readString(path), path.toString());
        } catch (IOException e) {
            throw new InvalidInputException(path + ": cannot be read: " + e.getMessage());
        }
    }

    /** Parses a text; {@code file} is its name in messages. */
    public static Table read(String text, String file) {
        TomlParseResult result = Toml.parse(text);
        if (result.hasErrors()) {
            throw new InvalidInputException(result.errors().stream()
                    .map(error -> file + ":" + error.position().line() + ": " + error.getMessage())
                    .collect(Collectors.joining("\n")));
        }
        return new TomlFile(file).new Table(result, "");
    }

    /** One table; keys in messages are full, such as {@code servers.machine[1].cores}. */
    public final class Table {
        /** Below this, each integer is a double. */
        private static final double MAX_EXACT_INTEGER = 1e15;

        private final TomlTable table;
        private final String path;
        private final Set<String> readKeys = new HashSet<>();
        private final Table base;

        private Table(TomlTable table, String path) {
            this(table, path, null);
        }

        private Table(TomlTable table, String path, Table base) {
            this.table = table;
            this.path = path;
            this.base = base;
        }

        /** The same table, with keys that it does not have taken from another one. Arrays are not merged. */
        public Table withDefaults(Table other) {
            return new Table(table, path, other);
        }

        /** Throws if the table has a key that no call has read. */
        public void rejectUnknownKeys() {
            for (String key : table.keySet()) {
                if (!readKeys.contains(key)) {
                    throw error(
                            key,
                            "is unknown; known here: "
                                    + readKeys.stream().sorted().collect(Collectors.joining(", ")));
                }
            }
        }

        /** An error that names file, line and key; {@code what} follows the key. */
        public InvalidInputException error(String key, String what) {
            TomlPosition at = table.inputPositionOf(List.of(key));
            if (at == null && base != null && base.table.contains(List.of(key))) {
                return base.error(key, what);
            }
            return new InvalidInputException(
                    file + (at == null ? "" : ":" + at.line()) + ": key " + path + key + " " + what);
        }

        private Object value(String key) {
            readKeys.add(key);
            Object own = table.get(List.of(key));
            return own != null || base == null ? own : base.value(key);
        }

        /** The text under the key, or the default where there is none. */
        public String text(String key, String defaultValue) {
            return value(key) == null ? defaultValue : text(key);
        }

        /** The text under the key, which must be there. */
        public String text(String key) {
            Object value = value(key);
            if (value instanceof String text) {
                return text;
            }
            throw error(key, value == null ? "is missing" : "should be text");
        }

        /** The number under the key, which must be there and from {@code min} to {@code max}. */
        public double number(String key, double min, double max) {
            Object value = value(key);
            if (!(value instanceof Number found)) {
                throw error(key, value == null ? "is missing" : "should be a number");
            }
            double number = found.doubleValue();
            if (!(number >= min && number <= max)) {
                throw error(key, "should be from " + format(min) + " to " + format(max));
            }
            return number;
        }

        /** The number under the key, or the default where there is none. */
        public double number(String key, double min, double max, double defaultValue) {
            return value(key) == null ? defaultValue : number(key, min, max);
        }

        /** The integer under the key, or the default where there is none. */
        public int integer(String key, int min, int max, int defaultValue) {
            return value(key) == null ? defaultValue : integer(key, min, max);
        }

        /** The integer under the key, which must be there and from {@code min} to {@code max}. */
        public int integer(String key, int min, int max) {
            double value = number(key, min, max);
            if (value != Math.rint(value)) {
                throw error(key, "should be a whole number");
            }
            return (int) value;
        }

        /** The boolean under the key, or the default where there is none. */
        public boolean flag(String key, boolean defaultValue) {
            Object value = value(key);
            if (value == null || value instanceof Boolean) {
                return value == null ? defaultValue : (Boolean) value;
            }
            throw error(key, "should be true or false");
        }

        /** The constant whose name in lower case is under the key, or the default where there is none. */
        public <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
            return value(key) == null ? defaultValue : enumValue(key, type);
        }

        /** The constant whose name in lower case is under the key, which must be there. */
        public <E extends Enum<E>> E enumValue(String key, Class<E> type) {
            String name = text(key);
            for (E e : type.getEnumConstants()) {
                if (e.name().toLowerCase(Locale.ROOT).equals(name)) {
                    return e;
                }
            }
            throw error(
                    key,
                    "should be one of "
                            + Stream.of(type.getEnumConstants())
                                    .map(constant -> constant.name().toLowerCase(Locale.ROOT))
                                    .collect(Collectors.joining(", ")));
        }

        /** The texts under the key, or the default where there are none. */
        public List<String> texts(String key, List<String> defaultValue) {
            List<String> texts = texts(array(key, false), key);
            return texts.isEmpty() ? defaultValue : texts;
        }

        /** The texts under the key, which must be there. */
        public List<String> texts(String key) {
            return texts(array(key, true), key);
        }

        private List<String> texts(List<Object> values, String key) {
            List<String> texts = new ArrayList<>();
            for (Object value : values) {
                if (!(value instanceof String text)) {
                    throw error(key, "should hold texts");
                }
                texts.add(text);
            }
            return texts;
        }

        /** The numbers under the key, which must be there. */
        public List<Double> numbers(String key) {
            List<Double> numbers = new ArrayList<>();
            for (Object value : array(key, true)) {
                if (!(value instanceof Number number)) {
                    throw error(key, "should hold numbers");
                }
                numbers.add(number.doubleValue());
            }
            return numbers;
        }

        private List<Object> array(String key, boolean isRequired) {
            Object value = value(key);
            if (value == null && !isRequired) {
                return List.of();
            }
            if (!(value instanceof TomlArray array)) {
                throw error(key, value == null ? "is missing" : "should be an array");
            }
            return array.toList();
        }

        /** The table under the key, or an empty one. */
        public Table table(String key) {
            readKeys.add(key);
            Object own = table.get(List.of(key));
            if (own != null && !(own instanceof TomlTable)) {
                throw error(key, "should be a table");
            }
            return new Table(
                    own == null ? Toml.parse("") : (TomlTable) own,
                    path + key + ".",
                    base == null ? null : base.table(key));
        }

        /** The tables of the array under the key; empty where there is none. */
        public List<Table> tables(String key) {
            List<Table> tables = new ArrayList<>();
            for (Object value : array(key, false)) {
                if (!(value instanceof TomlTable entry)) {
                    throw error(key, "should hold tables");
                }
                tables.add(new Table(entry, path + key + "[" + tables.size() + "]."));
            }
            return tables;
        }

        private static String format(double number) {
            return number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER
                    ? Long.toString((long) number)
                    : Double.toString(number);
        }
    }
}
