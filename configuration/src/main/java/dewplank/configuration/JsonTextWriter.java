package dewplank.configuration;

import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonLiteral;
import dewplank.configuration.JsonValue.JsonNumber;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** Writes a JSON tree without spaces in UTF-8; the same tree always yields the same bytes. */
final class JsonTextWriter {
    /** Initial size of the buffer: enough for an item of the usual size, so that it is rarely reallocated. */
    private static final int INITIAL_CAPACITY_BYTES = 512;

    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private byte[] text = new byte[INITIAL_CAPACITY_BYTES];
    private int length;

    private JsonTextWriter() {}

    /** Writes the tree as UTF-8. */
    static byte[] write(JsonValue value) {
        JsonTextWriter writer = new JsonTextWriter();
        writer.writeValue(value);
        return Arrays.copyOf(writer.text, writer.length);
    }

    /** Appends a string with its quotes. */
    static void writeString(ByteArrayOutputStream out, String string) {
        out.writeBytes(write(new JsonString(string)));
    }

    private void writeValue(JsonValue value) {
        if (value instanceof JsonObject object) {
            writeObject(object);
        } else if (value instanceof JsonArray array) {
            writeArray(array);
        } else if (value instanceof JsonString string) {
            writeString(string.text());
        } else if (value instanceof JsonNumber number) {
            append(number.text().getBytes(StandardCharsets.US_ASCII));
        } else if (value instanceof JsonLiteral literal) {
            append(literal.text().getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void writeObject(JsonObject object) {
        append('{');
        boolean first = true;
        for (Map.Entry<String, JsonValue> member : object.members().entrySet()) {
            if (!first) {
                append(',');
            }
            writeString(member.getKey());
            append(':');
            writeValue(member.getValue());
            first = false;
        }
        append('}');
    }

    private void writeArray(JsonArray array) {
        append('[');
        boolean first = true;
        for (JsonValue element : array.elements()) {
            if (!first) {
                append(',');
            }
            writeValue(element);
            first = false;
        }
        append(']');
    }

    private void writeString(String string) {
        byte[] characters = string.getBytes(StandardCharsets.UTF_8);
        append('"');
        if (isPlain(characters)) {
            append(characters);
        } else {
            for (byte character : characters) {
                writeEscaped(character);
            }
        }
        append('"');
    }

    private static boolean isPlain(byte[] characters) {
        for (byte character : characters) {
            if (needsEscape(character)) {
                return false;
            }
        }
        return true;
    }

    /** Whether a byte must be escaped within a string; bytes of multi-byte characters are negative. */
    private static boolean needsEscape(byte character) {
        return character >= 0 && character < ' ' || character == '"' || character == '\\';
    }

    private void writeEscaped(byte character) {
        if (!needsEscape(character)) {
            append(character);
        } else if (character >= ' ') {
            append('\\');
            append(character);
        } else {
            append('\\');
            append('u');
            append('0');
            append('0');
            append(HEX_DIGITS[character >> 4]);
            append(HEX_DIGITS[character & 0xF]);
        }
    }

    private void append(int character) {
        ensureCapacity(1);
        text[length++] = (byte) character;
    }

    private void append(byte[] characters) {
        ensureCapacity(characters.length);
        System.arraycopy(characters, 0, text, length, characters.length);
        length += characters.length;
    }

    private void ensureCapacity(int additionalBytes) {
        if (length + additionalBytes > text.length) {
            text = Arrays.copyOf(text, Math.max(length + additionalBytes, 2 * text.length));
        }
    }
}
