package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonString;
import dewplank.configuration.Section.ItemList;
import dewplank.configuration.Section.PlainValue;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the later configuration from the earlier one and an encoded difference; used for one call only. */
final class DeltaReader {
    private final Configuration from;
    private final DataInputStream in;

    /** Creates a reader for a difference that was made from the given configuration. */
    DeltaReader(Configuration from, byte[] delta) {
        this.from = from;
        this.in = new DataInputStream(new ByteArrayInputStream(delta));
    }

    /** Returns the later configuration; throws if the difference is truncated or malformed. */
    Configuration read() throws InvalidConfigurationException {
        try {
            return readConfiguration();
        } catch (IOException truncated) {
            throw malformed("cut short");
        }
    }

    private Configuration readConfiguration() throws IOException, InvalidConfigurationException {
        if (in.readLong() != from.version()) {
            throw malformed("made from another version than " + from.version());
        }
        long version = in.readLong();
        int count = in.readInt();
        Map<String, Section> sections = new LinkedHashMap<>();
        for (int index = 0; index < count; index++) {
            String field = readFieldName();
            sections.put(field, readSection(field));
        }
        Configuration to = new Configuration(sections);
        if (in.available() > 0 || to.version() != version) {
            throw malformed("not what its head says");
        }
        return to;
    }

    private String readFieldName() throws IOException, InvalidConfigurationException {
        if (JsonTextReader.read(readText()) instanceof JsonString name) {
            return name.text();
        }
        throw malformed("a field without a name");
    }

    private Section readSection(String field) throws IOException, InvalidConfigurationException {
        Section before = from.sections().get(field);
        switch (in.readByte()) {
            case ConfigurationDelta.SAME:
                return requirePresent(before);
            case ConfigurationDelta.PLAIN:
                return readPlainValue(field);
            case ConfigurationDelta.LIST:
                return readItemList(field, before instanceof ItemList list ? list.items() : List.of());
            default:
                throw malformed("an unknown kind of field");
        }
    }

    private static Section requirePresent(Section before) throws InvalidConfigurationException {
        if (before == null) {
            throw malformed("a field that was not there");
        }
        return before;
    }

    private Section readPlainValue(String field) throws IOException, InvalidConfigurationException {
        byte[] json = readText();
        if (Section.isTypedList(field)) {
            throw malformed("a list as a plain value");
        }
        JsonGrammar.check(json);
        return new PlainValue(json);
    }

    private Section readItemList(String field, List<NamedItem> before)
            throws IOException, InvalidConfigurationException {
        List<NamedItem> items = new ArrayList<>();
        int kind = in.readByte();
        while (kind != ConfigurationDelta.END) {
            if (kind == ConfigurationDelta.COPY) {
                items.addAll(copiedRun(before, in.readInt(), in.readInt()));
            } else {
                items.add(NamedItem.read(field, items.size(), JsonTextReader.read(readText())));
            }
            kind = in.readByte();
        }
        return new ItemList(List.copyOf(items));
    }

    private static List<NamedItem> copiedRun(List<NamedItem> before, int first, int count)
            throws InvalidConfigurationException {
        if (first < 0 || count < 0 || first > before.size() - count) {
            throw malformed("items that were not there");
        }
        return before.subList(first, first + count);
    }

    private byte[] readText() throws IOException, InvalidConfigurationException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw malformed("cut short");
        }
        return in.readNBytes(length);
    }

    private static InvalidConfigurationException malformed(String detail) {
        return new InvalidConfigurationException(Reason.UNREADABLE, "", "the difference is " + detail);
    }
}
