package dewplank.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What one data plane observed of servers lately, as it is sent to peers in one datagram: suspected servers with their
 * failures, and healthy ones, each with the age of its newest outcome of that kind. A server in neither list has no
 * vote of this data plane. Immutable; encoded and decoded on any thread.
 *
 * <p>On the wire, big-endian and of at most {@link #MAX_BYTES} bytes: version (1 byte), incarnation (8), sequence
 * number (4), number of suspected servers (1); for each of these the hash of its id (4), failures (1), age (1); then
 * for healthy ones, as many as fit, hash (4) and age (1). Ages are in tenths of a second, 25.5 s at most.
 *
 * @param incarnation of the sending process; begins with the time of its start, so that later ones are larger
 * @param sequence counts the summaries of an incarnation
 * @param suspected servers whose requests fail
 * @param healthy servers that served, the newest first
 */
public record HealthSummary(long incarnation, int sequence, List<Suspected> suspected, List<Healthy> healthy) {
    /** The longest encoded summary. */
    public static final int MAX_BYTES = 256;

    private static final byte VERSION = 2;
    private static final int HEADER_BYTES = 1 + Long.BYTES + Integer.BYTES + 1;
    private static final int SUSPECTED_BYTES = Integer.BYTES + 2;
    private static final int HEALTHY_BYTES = Integer.BYTES + 1;
    private static final int BYTE_MASK = 0xFF;
    private static final double AGE_UNIT_MS = 100;

    /**
     * A server whose requests fail at the sender.
     *
     * @param server the hash of its id
     * @param failures within the window; 255 means so many or more
     * @param ageMs since the last failure
     */
    public record Suspected(int server, int failures, double ageMs) {}

    /**
     * A server that served a request of the sender.
     *
     * @param server the hash of its id
     * @param ageMs since then
     */
    public record Healthy(int server, double ageMs) {}

    /** The summary as bytes; suspected servers first, as with many of them only they fit. */
    public byte[] encode() {
        int suspectedCount = Math.min(suspected.size(), (MAX_BYTES - HEADER_BYTES) / SUSPECTED_BYTES);
        int maxHealthy = (MAX_BYTES - HEADER_BYTES - suspectedCount * SUSPECTED_BYTES) / HEALTHY_BYTES;
        int healthyCount = Math.min(healthy.size(), maxHealthy);
        ByteBuffer out =
                ByteBuffer.allocate(HEADER_BYTES + SUSPECTED_BYTES * suspectedCount + HEALTHY_BYTES * healthyCount);
        out.put(VERSION).putLong(incarnation).putInt(sequence).put((byte) suspectedCount);
        for (Suspected entry : suspected.subList(0, suspectedCount)) {
            out.putInt(entry.server())
                    .put((byte) Math.min(BYTE_MASK, entry.failures()))
                    .put(encodeAge(entry.ageMs()));
        }
        for (Healthy entry : healthy.subList(0, healthyCount)) {
            out.putInt(entry.server()).put(encodeAge(entry.ageMs()));
        }
        return out.array();
    }

    private static byte encodeAge(double ageMs) {
        return (byte) Math.max(0, Math.min(BYTE_MASK, Math.round(ageMs / AGE_UNIT_MS)));
    }

    /** The summary that these bytes encode; empty if they are torn, foreign or of another version. */
    public static Optional<HealthSummary> decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES || bytes.length > MAX_BYTES) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte version = in.get();
        long incarnation = in.getLong();
        int sequence = in.getInt();
        int suspectedCount = in.get();
        int healthyBytes = in.remaining() - suspectedCount * SUSPECTED_BYTES;
        if (version != VERSION || suspectedCount < 0 || healthyBytes < 0 || healthyBytes % HEALTHY_BYTES != 0) {
            return Optional.empty();
        }
        List<Suspected> suspected = new ArrayList<>(suspectedCount);
        for (int index = 0; index < suspectedCount; index++) {
            suspected.add(new Suspected(in.getInt(), in.get() & BYTE_MASK, decodeAge(in)));
        }
        List<Healthy> healthy = new ArrayList<>(healthyBytes / HEALTHY_BYTES);
        while (in.hasRemaining()) {
            healthy.add(new Healthy(in.getInt(), decodeAge(in)));
        }
        return Optional.of(new HealthSummary(incarnation, sequence, suspected, healthy));
    }

    private static double decodeAge(ByteBuffer in) {
        return (in.get() & BYTE_MASK) * AGE_UNIT_MS;
    }

    /** Whether it is newer than the other one of the same data plane. */
    boolean isNewerThan(HealthSummary other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
    }
}
