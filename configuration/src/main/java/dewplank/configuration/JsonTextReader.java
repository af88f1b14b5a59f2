package dewplank.configuration;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.spi.JsonException;
import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonLiteral;
import dewplank.configuration.JsonValue.JsonNumber;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses a complete JSON text into a tree, without lazily parsed values; duplicate keys are errors. */
final class JsonTextReader {
    private final JsonIterator tokens;

    private JsonTextReader(byte[] text) {
        tokens = JsonIterator.parse(text);
    }

    /** Parses the text as one value. */
    static JsonValue read(byte[] text) throws InvalidConfigurationException {
        JsonGrammar.check(text);
        try {
            return new JsonTextReader(text).readValue();
        } catch (IOException | JsonException | IndexOutOfBoundsException unreadable) {
            throw new InvalidConfigurationException(Reason.UNREADABLE, "", "not readable as JSON");
        }
    }

    /** Parses the text as one object. */
    static JsonObject readObject(byte[] text) throws InvalidConfigurationException {
        if (read(text) instanceof JsonObject object) {
            return object;
        }
        throw new InvalidConfigurationException(Reason.WRONG_TYPE, "", "not an object");
    }

    private JsonValue readValue() throws IOException, InvalidConfigurationException {
        ValueType type = tokens.whatIsNext();
        switch (type) {
            case OBJECT:
                return readMembers();
            case ARRAY:
                return readElements();
            case STRING:
                return new JsonString(tokens.readString());
            case NUMBER:
                return new JsonNumber(tokens.readNumberAsString());
            case BOOLEAN:
                return tokens.readBoolean() ? JsonLiteral.TRUE : JsonLiteral.FALSE;
            case NULL:
                tokens.readNull();
                return JsonLiteral.NULL;
            default:
                throw new InvalidConfigurationException(Reason.UNREADABLE, "", "not readable as JSON");
        }
    }

    private JsonObject readMembers() throws IOException, InvalidConfigurationException {
        Map<String, JsonValue> members = new LinkedHashMap<>();
        String key = tokens.readObject();
        while (key != null) {
            if (members.put(key, readValue()) != null) {
                throw new InvalidConfigurationException(Reason.DUPLICATE_KEY, key, "the key is there twice");
            }
            key = tokens.readObject();
        }
        return new JsonObject(members);
    }

    private JsonArray readElements() throws IOException, InvalidConfigurationException {
        List<JsonValue> elements = new ArrayList<>();
        while (tokens.readArray()) {
            elements.add(readValue());
        }
        return new JsonArray(elements);
    }
}
