package dewplank.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Header fields in the order received; names are not case-sensitive.
 *
 * <p>The fields are stored in one array of bytes, each as the length of its name, the length of its value, the name and
 * the value. A field therefore takes about as much memory as on the wire, however short it is. Not thread-safe.
 */
public final class Headers {
    /** Fields that apply to a single connection, or that a proxy generates itself. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length");

    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_CAPACITY_BYTES = 256;
    /** A length is stored in groups of seven bits, the lowest first; the high bit marks that another group follows. */
    private static final int LENGTH_GROUP_BITS = 7;

    private static final int LENGTH_GROUP_MASK = (1 << LENGTH_GROUP_BITS) - 1;
    private static final int MAX_LENGTH_BYTES = 5;

    /** A header field. */
    public record Field(String name, String value) {}

    private byte[] bytes = EMPTY;
    private int size;

    void add(String name, String value) {
        byte[] nameBytes = name.getBytes(StandardCharsets.ISO_8859_1);
        byte[] valueBytes = value.getBytes(StandardCharsets.ISO_8859_1);
        add(nameBytes, 0, nameBytes.length, valueBytes, 0, valueBytes.length);
    }

    /** Adds a field whose name and value are parts of these arrays, in ISO 8859-1. */
    void add(byte[] name, int nameStart, int nameLength, byte[] value, int valueStart, int valueLength) {
        ensureCapacity(size + 2 * MAX_LENGTH_BYTES + nameLength + valueLength);
        writeLength(nameLength);
        writeLength(valueLength);
        append(name, nameStart, nameLength);
        append(value, valueStart, valueLength);
    }

    private void ensureCapacity(int needed) {
        if (needed > bytes.length) {
            int grown = Math.max(MIN_CAPACITY_BYTES, bytes.length + bytes.length / 2);
            bytes = Arrays.copyOf(bytes, Math.max(needed, grown));
        }
    }

    private void writeLength(int length) {
        int rest = length;
        while (rest > LENGTH_GROUP_MASK) {
            bytes[size++] = (byte) (rest | ~LENGTH_GROUP_MASK);
            rest >>>= LENGTH_GROUP_BITS;
        }
        bytes[size++] = (byte) rest;
    }

    private void append(byte[] from, int start, int length) {
        System.arraycopy(from, start, bytes, size, length);
        size += length;
    }

    /** Releases the space beyond the last field. */
    void trim() {
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
        }
    }

    /** Memory in bytes that the fields take. */
    public int heldBytes() {
        return bytes.length;
    }

    /** Reads the fields one after the other, without creating strings for those that are passed over. */
    private final class Cursor {
        private int nameStart;
        private int nameLength;
        private int valueStart;
        private int valueLength;
        private int position;

        /** Moves to the next field; returns false if there is none. */
        boolean next() {
            if (position == size) {
                return false;
            }
            nameLength = readLength();
            valueLength = readLength();
            nameStart = position;
            valueStart = nameStart + nameLength;
            position = valueStart + valueLength;
            return true;
        }

        private int readLength() {
            int length = 0;
            int shift = 0;
            byte group = bytes[position++];
            while (group < 0) {
                length |= (group & LENGTH_GROUP_MASK) << shift;
                shift += LENGTH_GROUP_BITS;
                group = bytes[position++];
            }
            return length | group << shift;
        }

        String name() {
            return text(nameStart, nameLength);
        }

        String value() {
            return text(valueStart, valueLength);
        }

        private String text(int start, int length) {
            return new String(bytes, start, length, StandardCharsets.ISO_8859_1);
        }

        boolean hasName(String name) {
            if (name.length() != nameLength) {
                return false;
            }
            for (int i = 0; i < nameLength; i++) {
                if (lowerCase(bytes[nameStart + i]) != lowerCase((byte) name.charAt(i))) {
                    return false;
                }
            }
            return true;
        }
    }

    private static int lowerCase(byte letter) {
        return letter >= 'A' && letter <= 'Z' ? letter + ('a' - 'A') : letter;
    }

    /** Returns the value of a field, or null; the values of repeated fields are joined with commas. */
    public String get(String name) {
        String first = null;
        StringBuilder joined = null;
        Cursor cursor = new Cursor();
        while (cursor.next()) {
            if (!cursor.hasName(name)) {
                continue;
            }
            if (first == null) {
                first = cursor.value();
                continue;
            }
            if (joined == null) {
                joined = new StringBuilder(first);
            }
            joined.append(", ").append(cursor.value());
        }
        return joined == null ? first : joined.toString();
    }

    /** Whether the field's list contains the token (in lower case), such as {@code close} in {@code Connection}. */
    public boolean containsToken(String name, String token) {
        return tokens(name).contains(token);
    }

    /** The tokens of a field's list in lower case. */
    private Set<String> tokens(String name) {
        String list = get(name);
        if (list == null) {
            return Set.of();
        }
        Set<String> tokens = new HashSet<>();
        for (String part : list.split(",")) {
            tokens.add(part.strip().toLowerCase(Locale.ROOT));
        }
        return tokens;
    }

    /** Returns the end-to-end fields, which are forwarded unchanged. */
    public List<Field> endToEnd() {
        Set<String> connectionOptions = tokens("Connection");
        List<Field> endToEnd = new ArrayList<>();
        Cursor cursor = new Cursor();
        while (cursor.next()) {
            String name = cursor.name();
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(lowerCase) && !connectionOptions.contains(lowerCase)) {
                endToEnd.add(new Field(name, cursor.value()));
            }
        }
        return endToEnd;
    }
}
