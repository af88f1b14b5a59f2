package dewplank.settings;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.EOFException;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses a JSON text into lists, maps, strings, longs, doubles, booleans and nulls. */
public final class Json {
    private Json() {}

    public static Map<String, Object> object(String text) {
        return read(text, JsonToken.BEGIN_OBJECT, "a JSON object", Json::fields);
    }

    public static List<Object> array(String text) {
        return read(text, JsonToken.BEGIN_ARRAY, "a JSON array", Json::values);
    }

    private interface ValueReader<T> {
        T from(JsonReader in) throws IOException;
    }

    private static <T> T read(String text, JsonToken first, String expected, ValueReader<T> reader) {
        try {
            JsonReader in = new JsonReader(new StringReader(text));
            in.setStrictness(Strictness.STRICT);
            if (in.peek() != first) {
                throw new InvalidInputException("expected " + expected);
            }
            T value = reader.from(in);
            if (in.peek() != JsonToken.END_DOCUMENT) {
                throw new InvalidInputException("text after the message");
            }
            return value;
        } catch (MalformedJsonException | EOFException | NumberFormatException e) {
            throw new InvalidInputException("not JSON");
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + e.getMessage());
        }
    }

    private static Object value(JsonReader in) throws IOException {
        return switch (in.peek()) {
            case BEGIN_ARRAY -> values(in);
            case BEGIN_OBJECT -> fields(in);
            case STRING -> in.nextString();
            case NUMBER -> number(in.nextString());
            case BOOLEAN -> in.nextBoolean();
            default -> {
                in.nextNull();
                yield null;
            }
        };
    }

    /** Whole numbers of up to 64 bits are exact, because request ids and seeds do not fit into a double. */
    private static Object number(String text) {
        if (text.indexOf('.') < 0 && text.indexOf('e') < 0 && text.indexOf('E') < 0) {
            try {
                return Long.valueOf(text);
            } catch (NumberFormatException e) {
                return Double.valueOf(text); // more than 64 bits: exceeds the range of all integer fields
            }
        }
        return Double.valueOf(text);
    }

    private static List<Object> values(JsonReader in) throws IOException {
        List<Object> values = new ArrayList<>();
        in.beginArray();
        while (in.hasNext()) {
            values.add(value(in));
        }
        in.endArray();
        return values;
    }

    private static Map<String, Object> fields(JsonReader in) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        in.beginObject();
        while (in.hasNext()) {
            fields.put(in.nextName(), value(in));
        }
        in.endObject();
        return fields;
    }
}
