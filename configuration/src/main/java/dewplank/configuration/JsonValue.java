package dewplank.configuration;

import java.util.List;
import java.util.Map;

/** A parsed JSON value; numbers keep the text in which they were written, so that writing changes nothing. */
sealed interface JsonValue {
    /** An object, its members in the order in which they were written. */
    record JsonObject(Map<String, JsonValue> members) implements JsonValue {}

    /** An array. */
    record JsonArray(List<JsonValue> elements) implements JsonValue {}

    /** A string. */
    record JsonString(String text) implements JsonValue {}

    /** A number, as written. */
    record JsonNumber(String text) implements JsonValue {}

    /** One of the three words. */
    enum JsonWord implements JsonValue {
        /** true. */
        TRUE("true"),
        /** false. */
        FALSE("false"),
        /** null. */
        NULL("null");

        private final String text;

        JsonWord(String text) {
            this.text = text;
        }

        /** The word as it is written. */
        String text() {
            return text;
        }
    }
}
