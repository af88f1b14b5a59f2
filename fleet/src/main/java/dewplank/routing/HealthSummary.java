package dewplank.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one sidecar tells its peers of servers it has sent to lately: those that it judges unhealthy, and those that it
 * has found healthy, by the hashes of their ids. A server that is in neither list has no vote of this sidecar.
 *
 * <p>On the wire, 256 bytes at most, big-endian: a version (1), the sidecar's incarnation (8), a count of
 * summaries (4), the number of unhealthy ones (1), their hashes (4 each), and the hashes of
 * healthy ones (4 each) as room is left.
 */
public record HealthSummary(long incarnation, int sequence, List<Integer> unhealthy, List<Integer> healthy) {
    public static final int MOST_BYTES = 256;
    private static final byte VERSION = 1;
    private static final int HEAD_BYTES = 1 + Long.BYTES + Integer.BYTES + 1;
    private static final int MOST_SERVERS = (MOST_BYTES - HEAD_BYTES) / Integer.BYTES;

    /** Unhealthy ones first: with many servers only they find room. */
    public byte[] bytes() {
        int sick = Math.min(unhealthy.size(), MOST_SERVERS);
        int well = Math.min(healthy.size(), MOST_SERVERS - sick);
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + Integer.BYTES * (sick + well));
        out.put(VERSION).putLong(incarnation).putInt(sequence).put((byte) sick);
        unhealthy.subList(0, sick).forEach(out::putInt);
        healthy.subList(0, well).forEach(out::putInt);
        return out.array();
    }

    /** The summary that these bytes hold, or null: torn, foreign or of another version. */
    public static HealthSummary of(byte[] bytes) {
        boolean fits = bytes.length >= HEAD_BYTES && bytes.length <= MOST_BYTES;
        if (!fits || (bytes.length - HEAD_BYTES) % Integer.BYTES != 0) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte version = in.get();
        long incarnation = in.getLong();
        int sequence = in.getInt();
        int sick = in.get();
        if (version != VERSION || sick < 0 || sick * Integer.BYTES > in.remaining()) {
            return null;
        }
        List<Integer> unhealthy = hashes(in, sick);
        return new HealthSummary(incarnation, sequence, unhealthy, hashes(in, in.remaining() / Integer.BYTES));
    }

    private static List<Integer> hashes(ByteBuffer in, int count) {
        List<Integer> hashes = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            hashes.add(in.getInt());
        }
        return hashes;
    }

    /** Whether it is newer than the other one of the same sidecar; incarnations begin with the time of the start. */
    boolean newerThan(HealthSummary other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && sequence > other.sequence;
    }
}
