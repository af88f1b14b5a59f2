package dewplank.configuration;

import dewplank.configuration.Section.ItemList;
import dewplank.configuration.Section.PlainValue;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference from one configuration to a later one, which control planes send to data planes instead of the
 * complete text. Pure; any thread may call it.
 *
 * <p>The encoding is big-endian: the two versions (8 bytes each), the number of top-level fields of the later
 * configuration (4), then each field with its name as a JSON text. A field is marked as unchanged, or given as a new
 * text, or, for a list of items, given as runs copied from the earlier list and texts of new items. A text is encoded
 * as its length in bytes (4), followed by the text in UTF-8.
 */
public final class ConfigurationDelta {
    /** Marks a field that is unchanged. */
    static final int SAME = 0;
    /** Marks a field whose new text follows. */
    static final int PLAIN = 1;
    /** Marks a field whose list follows, as copied runs and new items. */
    static final int LIST = 2;
    /** Marks the end of a list. */
    static final int END = 0;
    /** Marks a run copied from the earlier list; the index of its first item and the number of items follow. */
    static final int COPY = 1;
    /** Marks a new item, whose text follows. */
    static final int ITEM = 2;

    private ConfigurationDelta() {}

    /**
     * Encodes the difference.
     *
     * @param from the earlier configuration
     * @param to the later configuration
     */
    public static byte[] between(Configuration from, Configuration to) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(from.version());
            out.writeLong(to.version());
            out.writeInt(to.sections().size());
            for (Map.Entry<String, Section> section : to.sections().entrySet()) {
                writeText(out, JsonTextWriter.write(new JsonValue.JsonString(section.getKey())));
                writeSection(out, from.sections().get(section.getKey()), section.getValue());
            }
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    private static void writeSection(DataOutputStream out, Section before, Section after) throws IOException {
        if (after instanceof PlainValue plain) {
            if (before instanceof PlainValue earlier && Arrays.equals(earlier.json(), plain.json())) {
                out.writeByte(SAME);
            } else {
                out.writeByte(PLAIN);
                writeText(out, plain.json());
            }
        } else if (after instanceof ItemList list) {
            out.writeByte(LIST);
            writeItems(out, before instanceof ItemList earlier ? earlier.items() : List.of(), list.items());
        }
    }

    private static void writeItems(DataOutputStream out, List<NamedItem> before, List<NamedItem> after)
            throws IOException {
        Map<String, Integer> indexByName = new HashMap<>();
        for (int index = 0; index < before.size(); index++) {
            indexByName.put(before.get(index).name(), index);
        }
        int written = 0;
        while (written < after.size()) {
            int first = indexByName.getOrDefault(after.get(written).name(), before.size());
            int count = commonRunLength(before, first, after, written);
            if (count > 0) {
                out.writeByte(COPY);
                out.writeInt(first);
                out.writeInt(count);
                written += count;
            } else {
                out.writeByte(ITEM);
                writeText(out, after.get(written).json());
                written++;
            }
        }
        out.writeByte(END);
    }

    private static int commonRunLength(List<NamedItem> before, int first, List<NamedItem> after, int start) {
        int longest = Math.min(before.size() - first, after.size() - start);
        int count = 0;
        while (count < longest && after.get(start + count).hasSameJson(before.get(first + count))) {
            count++;
        }
        return count;
    }

    private static void writeText(DataOutputStream out, byte[] text) throws IOException {
        out.writeInt(text.length);
        out.write(text);
    }

    /**
     * Rebuilds the later configuration.
     *
     * @param from the earlier configuration, of the version that the difference was made from
     * @param delta the difference
     * @throws InvalidConfigurationException if the difference is truncated, malformed or was made from another version,
     *     or if the result is invalid
     */
    public static Configuration apply(Configuration from, byte[] delta) throws InvalidConfigurationException {
        return new DeltaReader(from, delta).read();
    }
}
