package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonArray;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import dewplank.configuration.Section.ItemList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies a patch to a configuration's fields. Items are first added or replaced, then removed by name, so an item that
 * is in both lists is removed. A replaced item keeps its position, and a new item is appended. Pure.
 */
final class ConfigurationPatch {
    private static final String UPSERT = "upsert";
    private static final String REMOVE = "remove";

    private ConfigurationPatch() {}

    /** Returns the fields with the patch applied, without modifying the given fields. */
    static Map<String, Section> apply(Map<String, Section> sections, JsonObject patch)
            throws InvalidConfigurationException {
        if (!patch.members().containsKey(Configuration.VERSION)) {
            throw new InvalidConfigurationException(Reason.MISSING_VERSION, Configuration.VERSION, "is absent");
        }
        Map<String, Section> changed = new LinkedHashMap<>(sections);
        for (Map.Entry<String, JsonValue> member : patch.members().entrySet()) {
            if (!member.getKey().equals(UPSERT) && !member.getKey().equals(REMOVE)) {
                changed.put(member.getKey(), Section.read(member.getKey(), member.getValue()));
            }
        }
        for (Map.Entry<String, JsonValue> list : readLists(patch, UPSERT).entrySet()) {
            List<NamedItem> items = Section.readItems(list.getKey(), list.getValue());
            changeItems(changed, list.getKey(), items, Set.of());
        }
        for (Map.Entry<String, JsonValue> list : readLists(patch, REMOVE).entrySet()) {
            Set<String> names = readNames(list.getKey(), list.getValue());
            if (changed.containsKey(list.getKey())) {
                changeItems(changed, list.getKey(), List.of(), names);
            }
        }
        return changed;
    }

    private static Map<String, JsonValue> readLists(JsonObject patch, String field)
            throws InvalidConfigurationException {
        JsonValue value = patch.members().get(field);
        if (value == null || value == JsonValue.JsonLiteral.NULL) {
            return Map.of();
        }
        if (value instanceof JsonObject object) {
            return object.members();
        }
        throw new InvalidConfigurationException(Reason.WRONG_TYPE, field, "is not an object");
    }

    private static void changeItems(
            Map<String, Section> sections, String field, List<NamedItem> upsert, Set<String> remove)
            throws InvalidConfigurationException {
        Section section = sections.getOrDefault(field, ItemList.EMPTY);
        if (!(section instanceof ItemList list)) {
            throw new InvalidConfigurationException(Reason.WRONG_TYPE, field, "is not a list of named items");
        }
        sections.put(field, list.withChanges(upsert, remove));
    }

    private static Set<String> readNames(String field, JsonValue value) throws InvalidConfigurationException {
        String path = REMOVE + "." + field;
        if (!(value instanceof JsonArray array)) {
            throw new InvalidConfigurationException(Reason.WRONG_TYPE, path, "is not a list");
        }
        Set<String> names = new HashSet<>();
        for (JsonValue element : array.elements()) {
            if (!(element instanceof JsonString name)) {
                throw new InvalidConfigurationException(Reason.WRONG_TYPE, path, "holds something besides names");
            }
            names.add(name.text());
        }
        return names;
    }
}
