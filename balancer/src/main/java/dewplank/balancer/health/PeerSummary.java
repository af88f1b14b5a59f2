package dewplank.balancer.health;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one sidecar tells its peers: the servers that it judges unhealthy, by the hashes of their ids.
 *
 * <p>On the wire, 256 bytes at most: a version (1), the time of telling in milliseconds of the clock that all
 * machines read (a double), and a hash (4 bytes) for each server, as many as find room; all big-endian.
 *
 * @param createdAtMs orders a sidecar's summaries and tells their age, across its restarts too
 */
public record PeerSummary(double createdAtMs, List<Integer> unhealthyServers) {
    private static final int MAX_BYTES = 256;
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 1 + Double.BYTES;

    public byte[] encode() {
        int count = Math.min(unhealthyServers.size(), (MAX_BYTES - HEADER_BYTES) / Integer.BYTES);
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * count)
                .put(VERSION)
                .putDouble(createdAtMs);
        unhealthyServers.subList(0, count).forEach(out::putInt);
        return out.array();
    }

    /** The summary that these bytes hold, or null: torn, foreign or of another version. */
    public static PeerSummary decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES
                || bytes.length > MAX_BYTES
                || (bytes.length - HEADER_BYTES) % Integer.BYTES != 0) {
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
