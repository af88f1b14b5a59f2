package dewplank.balancer.health;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one instance sends its peers: the servers that it finds unhealthy, by the hashes of their ids.
 *
 * <p>On the wire, 256 bytes at most: a version (1), the time of creation (a double), and a hash (4 bytes)
 * for each server, as many as fit; all big-endian.
 *
 * @param createdAtMs in milliseconds of the clock that all machines read; orders an instance's summaries
 *     and gives their age, across its restarts too
 * @param unhealthyServers {@link String#hashCode} of each server's id
 */
public record PeerSummary(double createdAtMs, List<Integer> unhealthyServers) {
    private static final int MAX_BYTES = 256;
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 1 + Double.BYTES;

    /** The bytes to send; servers beyond those that fit are left out. */
    public byte[] encode() {
        int count = Math.min(unhealthyServers.size(), (MAX_BYTES - HEADER_BYTES) / Integer.BYTES);
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * count);
        out.put(VERSION).putDouble(createdAtMs);
        unhealthyServers.subList(0, count).forEach(out::putInt);
        return out.array();
    }

    /**
     * The summary that these untrusted bytes hold, or null if they are torn, foreign or of another version.
     */
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
