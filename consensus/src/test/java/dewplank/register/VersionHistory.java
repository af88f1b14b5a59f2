package dewplank.register;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The payload of the simulation: the numbers of the applied changes, in their order. */
final class VersionHistory {
    static final String APPLIED = "applied";
    static final String REJECTED = "rejected";

    private VersionHistory() {}

    static List<Integer> read(byte[] payload) {
        List<Integer> versions = new ArrayList<>();
        if (payload != null) {
            ByteBuffer buffer = ByteBuffer.wrap(payload);
            while (buffer.hasRemaining()) {
                versions.add(buffer.getInt());
            }
        }
        return versions;
    }

    static int newest(byte[] payload) {
        List<Integer> versions = read(payload);
        return versions.isEmpty() ? 0 : versions.get(versions.size() - 1);
    }

    /** Returns a change that is applied once, and only if the newest version is {@code base}. */
    static Change<String> change(int version, int base) {
        return payload -> {
            if (read(payload).contains(version)) {
                return new Decision<>(null, APPLIED);
            }
            if (newest(payload) != base) {
                return new Decision<>(null, REJECTED);
            }
            return new Decision<>(append(payload, version), APPLIED);
        };
    }

    private static byte[] append(byte[] payload, int version) {
        int length = payload == null ? 0 : payload.length;
        ByteBuffer buffer = ByteBuffer.allocate(length + Integer.BYTES);
        if (payload != null) {
            buffer.put(payload);
        }
        buffer.putInt(version);
        return buffer.array();
    }
}
