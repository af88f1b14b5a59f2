package dewplank.balancer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one sidecar tells its peers: the servers that it judges unhealthy, by the hashes of their ids.
 *
 * <p>On the wire, 256 bytes at most: a version (1), the time of telling in milliseconds of the clock that all
 * machines read (a double), and a hash (4 bytes) for each server, as many as find room; all big-endian.
 *
 * @param toldAt orders a sidecar's summaries and tells their age, across its restarts too
 */
public record Summary(double toldAt, List<Integer> unhealthy) {
    private static final int MOST_BYTES = 256;
    private static final byte VERSION = 1;
    private static final int HEAD = 1 + Double.BYTES;

    public byte[] bytes() {
        int count = Math.min(unhealthy.size(), (MOST_BYTES - HEAD) / Integer.BYTES);
        ByteBuffer out = ByteBuffer.allocate(HEAD + Integer.BYTES * count).put(VERSION).putDouble(toldAt);
        unhealthy.subList(0, count).forEach(out::putInt);
        return out.array();
    }

    /** The summary that these bytes hold, or null: torn, foreign or of another version. */
    public static Summary of(byte[] bytes) {
        if (bytes.length < HEAD || bytes.length > MOST_BYTES || (bytes.length - HEAD) % Integer.BYTES != 0) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte version = in.get();
        double toldAt = in.getDouble();
        if (version != VERSION || !Double.isFinite(toldAt)) {
            return null;
        }
        List<Integer> unhealthy = new ArrayList<>();
        while (in.hasRemaining()) {
            unhealthy.add(in.getInt());
        }
        return new Summary(toldAt, unhealthy);
    }
}
