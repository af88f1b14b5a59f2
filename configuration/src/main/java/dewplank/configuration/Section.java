package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A top-level field of a configuration: a list of named items, which patches change item by item, or a value. */
sealed interface Section {
    /** A list of items in the order of the text; patches change the items by name. */
    record ItemList(List<NamedItem> items) implements Section {
        /** An empty list. */
        static final ItemList EMPTY = new ItemList(List.of());

        /** Returns this list with items replaced in place or appended, and then the items with these names removed. */
        ItemList withChanges(List<NamedItem> upsert, Set<String> remove) {
            Map<String, NamedItem> byName = new LinkedHashMap<>();
            for (NamedItem item : items) {
                byName.put(item.name(), item);
            }
            for (NamedItem item : upsert) {
                byName.put(item.name(), item);
            }
            byName.keySet().removeAll(remove);
            return new ItemList(List.copyOf(byName.values()));
        }
    }

    /** A value that is changed as a whole, as JSON text without spaces. */
    record PlainValue(byte[] json) implements Section {}

    /** Reads a section from a field's value. */
    static Section read(String field, JsonValue value) throws InvalidConfigurationException {
        if (isTypedList(field) || isNamedList(value)) {
            return new ItemList(readItems(field, value));
        }
        return new PlainValue(JsonTextWriter.write(value));
    }

    /** Reads the items of a list from a field's value; throws if two items have the same name. */
    static List<NamedItem> readItems(String field, JsonValue value) throws InvalidConfigurationException {
        if (!(value instanceof JsonArray array)) {
            throw new InvalidConfigurationException(Reason.WRONG_TYPE, field, "is not a list");
        }
        List<NamedItem> items = new ArrayList<>(array.elements().size());
        Set<String> names = new HashSet<>();
        for (JsonValue element : array.elements()) {
            NamedItem item = NamedItem.read(field, items.size(), element);
            if (!names.add(item.name())) {
                throw new InvalidConfigurationException(
                        Reason.DUPLICATE_NAME, field + "[" + item.name() + "]", "the name is there twice");
            }
            items.add(item);
        }
        return List.copyOf(items);
    }

    /** Whether the field is a list whose items this program reads. */
    static boolean isTypedList(String field) {
        return field.equals(NamedItem.ROUTES) || field.equals(NamedItem.SERVICES) || field.equals(NamedItem.TENANTS);
    }

    private static boolean isNamedList(JsonValue value) {
        if (!(value instanceof JsonArray array)) {
            return false;
        }
        for (JsonValue element : array.elements()) {
            if (!(element instanceof JsonObject object)
                    || !(object.members().get("name") instanceof JsonValue.JsonString)) {
                return false;
            }
        }
        return true;
    }
}
