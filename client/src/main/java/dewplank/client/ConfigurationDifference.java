package dewplank.client;

import dewplank.configuration.Configuration;
import dewplank.settings.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares two configurations key by key. List items are identified by their names, and their order is ignored.
 */
public final class ConfigurationDifference {
    private final List<Change> changes = new ArrayList<>();

    private ConfigurationDifference() {}

    /**
     * Returns the changes from one configuration to the other; null is treated as a configuration without fields.
     * Access keys are compared and returned in the given representation.
     */
    public static List<Change> between(Configuration before, Configuration after, KeyDisplay keys) {
        return between(fields(before, keys), fields(after, keys));
    }

    private static Map<String, Object> fields(Configuration configuration, KeyDisplay keys) {
        return configuration == null ? Map.of() : Json.object(keys.json(configuration));
    }

    static List<Change> between(Map<String, Object> before, Map<String, Object> after) {
        ConfigurationDifference difference = new ConfigurationDifference();
        difference.fields("", before, after);
        return difference.changes;
    }

    private void fields(String path, Map<?, ?> before, Map<?, ?> after) {
        before.forEach((key, value) -> {
            if (after.containsKey(key)) {
                compareValues(path + key, value, after.get(key));
            } else {
                removed(path + key, value);
            }
        });
        after.forEach((key, value) -> {
            if (!before.containsKey(key)) {
                added(path + key, value);
            }
        });
    }

    private void compareValues(String path, Object before, Object after) {
        if (JsonValues.areEqual(before, after)) {
            return;
        }
        Map<String, Object> itemsBefore = itemsByName(before);
        Map<String, Object> itemsAfter = itemsByName(after);
        if (itemsBefore != null && itemsAfter != null) {
            fields(path, itemsBefore, itemsAfter);
        } else if (before instanceof Map<?, ?> a && after instanceof Map<?, ?> b) {
            fields(path + ".", a, b);
        } else {
            changes.add(new Change(Change.Kind.CHANGED, path, before, after));
        }
    }

    private void removed(String path, Object value) {
        Map<String, Object> items = itemsByName(value);
        if (items == null || items.isEmpty()) {
            changes.add(new Change(Change.Kind.REMOVED, path, value, null));
        } else {
            items.forEach((item, inner) -> changes.add(new Change(Change.Kind.REMOVED, path + item, inner, null)));
        }
    }

    private void added(String path, Object value) {
        Map<String, Object> items = itemsByName(value);
        if (items == null || items.isEmpty()) {
            changes.add(new Change(Change.Kind.ADDED, path, null, value));
        } else {
            items.forEach((item, inner) -> changes.add(new Change(Change.Kind.ADDED, path + item, null, inner)));
        }
    }

    /** Returns the items of a list by {@code [name]}; null if the value is not a list of items with distinct names. */
    private static Map<String, Object> itemsByName(Object value) {
        if (!(value instanceof List<?> list)) {
            return null;
        }
        Map<String, Object> items = new LinkedHashMap<>();
        for (Object element : list) {
            boolean named = element instanceof Map<?, ?> item && item.get("name") instanceof String;
            if (!named || items.put("[" + ((Map<?, ?>) element).get("name") + "]", element) != null) {
                return null;
            }
        }
        return items;
    }
}
