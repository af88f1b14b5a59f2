package dewplank.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One data plane's recent observations of servers, sent to its peers in one datagram. It lists suspected servers with
 * their failures, and healthy servers, each with the age of its newest failure or success. A server in neither list
 * gets no vote from this data plane. Immutable; encoded and decoded on any thread.
 *
 * <p>The encoding is big-endian and has at most {@link #MAX_BYTES} bytes: version (1 byte), incarnation (8), sequence
 * number (4), number of suspected servers (1); for each suspected server the hash of its id (4), failures (1), age (1);
 * then for as many healthy servers as fit, hash (4) and age (1). Ages are in tenths of a second, 25.5 s at most.
 *
 * @param incarnation the incarnation of the sending process, derived from its start time so that later incarnations are
 *     larger
 * @param sequence the number of this summary within the incarnation
 * @param suspected servers whose requests failed
 * @param healthy servers that served requests, the most recent first
 */
public record HealthSummary(long incarnation, int sequence, List<Suspected> suspected, List<Healthy> healthy) {
    /** The maximum length of an encoded summary. */
    public static final int MAX_BYTES = 256;

    private static final byte VERSION = 2;
    private static final int HEADER_BYTES = 1 + Long.BYTES + Integer.BYTES + 1;
    private static final int SUSPECTED_BYTES = Integer.BYTES + 2;
    private static final int HEALTHY_BYTES = Integer.BYTES + 1;
    private static final int BYTE_MASK = 0xFF;
    private static final double AGE_UNIT_MS = 100;

    /**
     * A server at which requests of the sender failed.
     *
     * @param server the hash of its id
     * @param failures number within the window; 255 means 255 or more
     * @param ageMs time since the last failure
     */
    public record Suspected(int server, int failures, double ageMs) {}

    /**
     * A server that served a request of the sender.
     *
     * @param server the hash of its id
     * @param ageMs time since the last success
     */
    public record Healthy(int server, double ageMs) {}

    /** Encodes the summary. Suspected servers come first; if there are many, healthy servers are left out. */
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

    /** Decodes a summary; empty if the bytes are truncated, invalid or of another version. */
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

    /** Whether this summary is newer than another one of the same data plane. */
    boolean isNewerThan(HealthSummary other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
    }
}
