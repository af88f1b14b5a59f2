package dewplank.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one sidecar has observed of servers lately, told to its peers: those that look unhealthy here, with how often
 * they failed, and those that served, each with the age of its newest outcome of that kind. Servers go by the hashes of
 * their ids. A server that is in neither list has no vote of this sidecar.
 *
 * <p>On the wire, 256 bytes at most, big-endian: a version (1), the sidecar's incarnation (8), a count of summaries
 * (4), the number of suspected servers (1); for each of these its hash (4), failures (1) and age (1); then for healthy
 * ones, as room is left, hash (4) and age (1). Ages are in tenths of a second.
 */
public record HealthSummary(long incarnation, int sequence, List<Suspected> suspected, List<Healthy> healthy) {
    public static final int MAX_BYTES = 256;
    private static final byte VERSION = 2;
    private static final int HEAD_BYTES = 1 + Long.BYTES + Integer.BYTES + 1;
    private static final int SUSPECTED_BYTES = Integer.BYTES + 2;
    private static final int HEALTHY_BYTES = Integer.BYTES + 1;
    private static final int BYTE_MASK = 0xFF;
    private static final double AGE_UNIT_MS = 100;

    /**
     * A server whose requests fail here.
     *
     * @param failures within the window; 255 stands for more
     * @param ageMs since the last of them
     */
    public record Suspected(int server, int failures, double ageMs) {}

    /**
     * A server that served a request here.
     *
     * @param ageMs since then
     */
    public record Healthy(int server, double ageMs) {}

    /** Suspected ones first: with many servers only they find room. */
    public byte[] encode() {
        int sick = Math.min(suspected.size(), (MAX_BYTES - HEAD_BYTES) / SUSPECTED_BYTES);
        int room = (MAX_BYTES - HEAD_BYTES - sick * SUSPECTED_BYTES) / HEALTHY_BYTES;
        int well = Math.min(healthy.size(), room);
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + SUSPECTED_BYTES * sick + HEALTHY_BYTES * well);
        out.put(VERSION).putLong(incarnation).putInt(sequence).put((byte) sick);
        for (Suspected s : suspected.subList(0, sick)) {
            out.putInt(s.server()).put((byte) Math.min(BYTE_MASK, s.failures())).put(age(s.ageMs()));
        }
        for (Healthy h : healthy.subList(0, well)) {
            out.putInt(h.server()).put(age(h.ageMs()));
        }
        return out.array();
    }

    private static byte age(double ms) {
        return (byte) Math.max(0, Math.min(BYTE_MASK, Math.round(ms / AGE_UNIT_MS)));
    }

    /** The summary that these bytes hold, or null: torn, foreign or of another version. */
    public static HealthSummary decode(byte[] bytes) {
        if (bytes.length < HEAD_BYTES || bytes.length > MAX_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte version = in.get();
        long incarnation = in.getLong();
        int sequence = in.getInt();
        int sick = in.get();
        int rest = in.remaining() - sick * SUSPECTED_BYTES;
        if (version != VERSION || sick < 0 || rest < 0 || rest % HEALTHY_BYTES != 0) {
            return null;
        }
        List<Suspected> suspected = new ArrayList<>(sick);
        for (int i = 0; i < sick; i++) {
            suspected.add(new Suspected(in.getInt(), in.get() & BYTE_MASK, ageMs(in)));
        }
        List<Healthy> healthy = new ArrayList<>(rest / HEALTHY_BYTES);
        while (in.hasRemaining()) {
            healthy.add(new Healthy(in.getInt(), ageMs(in)));
        }
        return new HealthSummary(incarnation, sequence, suspected, healthy);
    }

    private static double ageMs(ByteBuffer in) {
        return (in.get() & BYTE_MASK) * AGE_UNIT_MS;
    }

    /** Whether it is newer than the other one of the same sidecar; incarnations begin with the time of the start. */
    boolean isNewerThan(HealthSummary other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && sequence > other.sequence;
    }
}
