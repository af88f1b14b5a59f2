package dewplank.balancer.health;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The message that one instance sends to its peers: the servers that it finds unhealthy, as hashes of their
 * ids.
 *
 * <p>The encoding has at most 256 bytes, all big-endian: a version (1 byte), the creation time (a double),
 * and a hash (4 bytes) for each server, as many as fit.
 *
 * @param createdAtMs in milliseconds of the clock that all machines share; orders an instance's summaries
 *     and gives their age, across restarts too
 * @param unhealthyServers {@link String#hashCode} of each server's id
 */
public record PeerSummary(double createdAtMs, List<Integer> unhealthyServers) {
    private static final int MAX_BYTES = 256;
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 1 + Double.BYTES;

    /** Encodes the summary; servers that do not fit are omitted. */
    public byte[] encode() {
        int count = Math.min(unhealthyServers.size(), (MAX_BYTES - HEADER_BYTES) / Integer.BYTES);
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * count);
        out.put(VERSION).putDouble(createdAtMs);
        unhealthyServers.subList(0, count).forEach(out::putInt);
        return out.array();
    }

    /** Decodes untrusted bytes; returns null if they are truncated, malformed or of another version. */
    public static PeerSummary decode(byte[] bytes) {
        boolean hasValidLength = bytes.length >= HEADER_BYTES
                && bytes.length <= MAX_BYTES
                && (bytes.length - HEADER_BYTES) % Integer.BYTES == 0;
        if (!hasValidLength) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte version = in.get();
        double createdAtMs = in.getDouble();
        if (version != VERSION || !Double.isFinite(createdAtMs)) {
            return null;
        }
        List<Integer> unhealthyServers = new ArrayList<>();
        while (in.hasRemaining()) {
            unhealthyServers.add(in.getInt());
        }
        return new PeerSummary(createdAtMs, unhealthyServers);
    }
}
