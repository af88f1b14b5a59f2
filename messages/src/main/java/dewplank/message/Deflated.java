package dewplank.message;

import dewplank.configuration.Compressed;
import java.io.IOException;

/** Compresses configurations on their way. */
public final class Deflated {
    private Deflated() {}

    public static byte[] of(byte[] plain) {
        return Compressed.of(plain);
    }

    /** Up to the size of a frame. */
    public static byte[] plain(byte[] deflated) throws CorruptFrameException {
        try {
            return Compressed.plain(deflated, MessageCodec.MAX_BODY_BYTES);
        } catch (IOException e) {
            throw new CorruptFrameException(e.getMessage());
        }
    }
}
