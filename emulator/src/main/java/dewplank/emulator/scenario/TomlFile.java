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
 * A strict reader of TOML files: every key must be known, have the right type and be within its range. Errors name the
 * file, line and key. After reading all supported keys of a table, call {@link Table#rejectUnknownKeys}.
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

    /** Parses a text; error messages call it {@code file}. */
    public static Table read(String text, String file) {
        TomlParseResult result = Toml.parse(text);
        if (result.hasErrors()) {
            throw new InvalidInputException(result.errors().stream()
                    .map(error -> file + ":" + error.position().line() + ": " + error.getMessage())
                    .collect(Collectors.joining("\n")));
        }
        return new TomlFile(file).new Table(result, "");
    }

    /** A table; error messages contain full keys, such as {@code servers.machine[1].cores}. */
    public final class Table {
        /** Integers up to this magnitude are represented exactly by a double. */
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

        /** Returns a table that takes missing keys from {@code other}. Arrays are not merged. */
        public Table withDefaults(Table other) {
            return new Table(table, path, other);
        }

        /** Throws an exception if the table has a key that has not been read. */
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

        /** Creates an error that names the file, line and key, followed by {@code problem}. */
        public InvalidInputException error(String key, String problem) {
            TomlPosition at = table.inputPositionOf(List.of(key));
            if (at == null && base != null && base.table.contains(List.of(key))) {
                return base.error(key, problem);
            }
            return new InvalidInputException(
                    file + (at == null ? "" : ":" + at.line()) + ": key " + path + key + " " + problem);
        }

        private Object value(String key) {
            readKeys.add(key);
            Object value = table.get(List.of(key));
            return value != null || base == null ? value : base.value(key);
        }

        /** The text under the key, or the default if the key is missing. */
        public String text(String key, String defaultValue) {
            return value(key) == null ? defaultValue : text(key);
        }

        /** The text under the key, which is required. */
        public String text(String key) {
            Object value = value(key);
            if (value instanceof String text) {
                return text;
            }
            throw error(key, value == null ? "is missing" : "should be text");
        }

        /** The number under the key, which is required and must be from {@code min} to {@code max}. */
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

        /** The number under the key, or the default if the key is missing. */
        public double number(String key, double min, double max, double defaultValue) {
            return value(key) == null ? defaultValue : number(key, min, max);
        }

        /** The integer under the key, or the default if the key is missing. */
        public int integer(String key, int min, int max, int defaultValue) {
            return value(key) == null ? defaultValue : integer(key, min, max);
        }

        /** The integer under the key, which is required and must be from {@code min} to {@code max}. */
        public int integer(String key, int min, int max) {
            double value = number(key, min, max);
            if (value != Math.rint(value)) {
                throw error(key, "should be an integer");
            }
            return (int) value;
        }

        /** The boolean under the key, or the default if the key is missing. */
        public boolean flag(String key, boolean defaultValue) {
            Object value = value(key);
            if (value == null || value instanceof Boolean) {
                return value == null ? defaultValue : (Boolean) value;
            }
            throw error(key, "should be true or false");
        }

        /** The constant whose lower-case name is under the key, or the default if the key is missing. */
        public <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
            return value(key) == null ? defaultValue : enumValue(key, type);
        }

        /** The constant whose lower-case name is under the key, which is required. */
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

        /** The texts under the key, or the default if there are none. */
        public List<String> texts(String key, List<String> defaultValue) {
            List<String> texts = texts(array(key, false), key);
            return texts.isEmpty() ? defaultValue : texts;
        }

        /** The texts under the key, which is required. */
        public List<String> texts(String key) {
            return texts(array(key, true), key);
        }

        private List<String> texts(List<Object> values, String key) {
            List<String> texts = new ArrayList<>();
            for (Object value : values) {
                if (!(value instanceof String text)) {
                    throw error(key, "should contain only texts");
                }
                texts.add(text);
            }
            return texts;
        }

        /** The numbers under the key, which is required. */
        public List<Double> numbers(String key) {
            List<Double> numbers = new ArrayList<>();
            for (Object value : array(key, true)) {
                if (!(value instanceof Number number)) {
                    throw error(key, "should contain only numbers");
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
            Object value = table.get(List.of(key));
            if (value != null && !(value instanceof TomlTable)) {
                throw error(key, "should be a table");
            }
            return new Table(
                    value == null ? Toml.parse("") : (TomlTable) value,
                    path + key + ".",
                    base == null ? null : base.table(key));
        }

        /** The tables of the array under the key; empty if the key is missing. */
        public List<Table> tables(String key) {
            List<Table> tables = new ArrayList<>();
            for (Object value : array(key, false)) {
                if (!(value instanceof TomlTable entry)) {
                    throw error(key, "should contain only tables");
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
