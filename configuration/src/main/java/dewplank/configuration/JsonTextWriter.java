package dewplank.configuration;

import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonNumber;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import dewplank.configuration.JsonValue.JsonWord;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** Writes a JSON tree without spaces; the same tree always gives the same bytes. */
final class JsonTextWriter {
    /** Room for an item of the usual size, so that the text seldom moves while it grows. */
    private static final int USUAL_LENGTH = 512;

    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private byte[] text = new byte[USUAL_LENGTH];
    private int length;

    private JsonTextWriter() {}

    /** The tree as UTF-8. */
    static byte[] write(JsonValue value) {
        JsonTextWriter writer = new JsonTextWriter();
        writer.value(value);
        return Arrays.copyOf(writer.text, writer.length);
    }

    /** Appends a string with its quotes. */
    static void string(ByteArrayOutputStream out, String string) {
        out.writeBytes(write(new JsonString(string)));
    }

    private void value(JsonValue value) {
        if (value instanceof JsonObject object) {
            object(object);
        } else if (value instanceof JsonArray array) {
            array(array);
        } else if (value instanceof JsonString string) {
            string(string.text());
        } else if (value instanceof JsonNumber number) {
            append(number.text().getBytes(StandardCharsets.US_ASCII));
        } else if (value instanceof JsonWord word) {
            append(word.text().getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void object(JsonObject object) {
        append('{');
        boolean first = true;
        for (Map.Entry<String, JsonValue> member : object.members().entrySet()) {
            if (!first) {
                append(',');
            }
            string(member.getKey());
            append(':');
            value(member.getValue());
            first = false;
        }
        append('}');
    }

    private void array(JsonArray array) {
        append('[');
        boolean first = true;
        for (JsonValue element : array.elements()) {
            if (!first) {
                append(',');
            }
            value(element);
            first = false;
        }
        append(']');
    }

    private void string(String string) {
        byte[] characters = string.getBytes(StandardCharsets.UTF_8);
        append('"');
        if (isPlain(characters)) {
            append(characters);
        } else {
            for (byte character : characters) {
                escaped(character);
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

    /** Whether a byte may not stand in a string as it is; bytes of longer characters are negative. */
    private static boolean needsEscape(byte character) {
        return character >= 0 && character < ' ' || character == '"' || character == '\\';
    }

    private void escaped(byte character) {
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
        ensure(1);
        text[length++] = (byte) character;
    }

    private void append(byte[] characters) {
        ensure(characters.length);
        System.arraycopy(characters, 0, text, length, characters.length);
        length += characters.length;
    }

    private void ensure(int more) {
        if (length + more > text.length) {
            text = Arrays.copyOf(text, Math.max(length + more, 2 * text.length));
        }
    }
}
