package dewplank.configuration;

import java.util.List;
import java.util.Map;

/** A parsed JSON value. Numbers are stored as their original text, so that writing a value does not change it. */
sealed interface JsonValue {
    /** An object, with its members in the order of the text. */
    record JsonObject(Map<String, JsonValue> members) implements JsonValue {}

    /** An array. */
    record JsonArray(List<JsonValue> elements) implements JsonValue {}

    /** A string. */
    record JsonString(String text) implements JsonValue {}

    /** A number, as the text in which it was written. */
    record JsonNumber(String text) implements JsonValue {}

    /** One of the three literals. */
    enum JsonLiteral implements JsonValue {
        /** true. */
        TRUE("true"),
        /** false. */
        FALSE("false"),
        /** null. */
        NULL("null");

        private final String text;

        JsonLiteral(String text) {
            this.text = text;
        }

        /** The literal as JSON text. */
        String text() {
            return text;
        }
    }
}
