package dewplank.message;

import io.protostuff.runtime.RuntimeSchema;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Fills messages of any type with random values and compares them field by field, so new types are tested as well. */
final class Messages {
    private static final int MAX_ELEMENTS = 4;
    private static final String[] TEXTS = {"", "a", "10.0.0.1:80", "é∂\uD83D\uDE00\u0000", "x".repeat(3_000)};
    private static final long[] NUMBERS = {0, 1, -1, 127, 128, Integer.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE};

    private static final List<Object> EMPTY_MESSAGES = decodeEmptyMessages();

    private Messages() {}

    /** Returns one empty message of each type of the codec, in the order of the type numbers. */
    static List<Object> emptyMessages() {
        return EMPTY_MESSAGES;
    }

    private static List<Object> decodeEmptyMessages() {
        List<Object> messages = new ArrayList<>();
        MessageCodec codec = FleetMessages.codec();
        try {
            while (true) {
                messages.add(codec.newDecoder().decode(frame(messages.size(), new byte[0])));
            }
        } catch (CorruptFrameException e) {
            return messages; // no type has this number
        }
    }

    static ByteBuffer frame(int number, byte[] body) {
        return ByteBuffer.allocate(Integer.BYTES + 1 + body.length)
                .putInt(body.length)
                .put((byte) number)
                .put(body)
                .flip();
    }

    /** Returns a message of the same type with random values. */
    static Object randomMessage(Object sameType, Random random) throws ReflectiveOperationException {
        Object message = newInstance(sameType.getClass());
        fill(message, random);
        return message;
    }

    private static Object newInstance(Class<?> type) {
        return RuntimeSchema.getSchema(type).newMessage();
    }

    private static void fill(Object message, Random random) throws ReflectiveOperationException {
        for (Field field : fields(message.getClass())) {
            field.set(message, value(field.getGenericType(), field.getType(), random));
        }
    }

    private static List<Field> fields(Class<?> type) {
        List<Field> fields = new ArrayList<>();
        for (Class<?> declaring = type; declaring != Object.class; declaring = declaring.getSuperclass()) {
            for (Field field : declaring.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    field.setAccessible(true);
                    fields.add(field);
                }
            }
        }
        return fields;
    }

    private static Object value(Type generic, Class<?> type, Random random) throws ReflectiveOperationException {
        if (type == long.class) {
            return random.nextBoolean() ? NUMBERS[random.nextInt(NUMBERS.length)] : random.nextLong();
        } else if (type == int.class) {
            return (int) NUMBERS[random.nextInt(NUMBERS.length)];
        } else if (type == double.class) {
            return random.nextInt(4) == 0 ? Double.NEGATIVE_INFINITY : random.nextDouble() * 1e6;
        } else if (type == boolean.class) {
            return random.nextBoolean();
        } else if (type == List.class) {
            return list((ParameterizedType) generic, random);
        } else if (random.nextInt(5) == 0) {
            return null;
        } else if (type == String.class) {
            return TEXTS[random.nextInt(TEXTS.length)];
        } else if (type == byte[].class) {
            byte[] bytes = new byte[random.nextInt(3) * 700];
            random.nextBytes(bytes);
            return bytes;
        } else if (type.isEnum()) {
            return type.getEnumConstants()[random.nextInt(type.getEnumConstants().length)];
        }
        Object part = newInstance(type);
        fill(part, random);
        return part;
    }

    private static List<Object> list(ParameterizedType generic, Random random) throws ReflectiveOperationException {
        Class<?> element = (Class<?>) generic.getActualTypeArguments()[0];
        List<Object> list = new ArrayList<>();
        for (int count = random.nextInt(MAX_ELEMENTS); list.size() < count; ) {
            Object value = value(element, element, random);
            if (value != null) { // lists in messages contain no null
                list.add(value);
            }
        }
        return list;
    }

    /** Returns the path and the values of the first difference, or null if the messages are equal. */
    static String difference(Object expected, Object actual) throws ReflectiveOperationException {
        return difference("", expected, actual);
    }

    private static String difference(String path, Object expected, Object actual) throws ReflectiveOperationException {
        if (expected == null || actual == null) {
            return expected == actual ? null : path + ": " + expected + " and " + actual;
        } else if (expected instanceof List<?> left && actual instanceof List<?> right) {
            return elements(path, left.toArray(), right.toArray());
        } else if (expected instanceof byte[] left && actual instanceof byte[] right) {
            return Arrays.equals(left, right) ? null : path + ": different bytes";
        } else if (expected.getClass() != actual.getClass()) {
            return path + ": " + expected.getClass() + " and " + actual.getClass();
        } else if (expected.getClass().getName().startsWith("java.") || expected instanceof Enum) {
            return expected.equals(actual) ? null : path + ": " + expected + " and " + actual;
        }
        for (Field field : fields(expected.getClass())) {
            String found = difference(path + "." + field.getName(), field.get(expected), field.get(actual));
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private static String elements(String path, Object[] expected, Object[] actual)
            throws ReflectiveOperationException {
        if (expected.length != actual.length) {
            return path + ": " + expected.length + " and " + actual.length + " elements";
        }
        for (int i = 0; i < expected.length; i++) {
            String found = difference(path + "[" + i + "]", expected[i], actual[i]);
            if (found != null) {
                return found;
            }
        }
        return null;
    }
}
