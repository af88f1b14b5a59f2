package dewplank.message;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses configurations on their way. */
public final class Deflated {
    private static final int PIECE = 8 * 1024;

    private Deflated() {}

    public static byte[] of(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 4 + 64);
            byte[] piece = new byte[PIECE];
            while (!deflater.finished()) {
                out.write(piece, 0, deflater.deflate(piece));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /** Up to the size of a frame. */
    public static byte[] plain(byte[] deflated) throws BadFrameException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream out = new ByteArrayOutputStream(deflated.length * 4 + 64);
            byte[] piece = new byte[PIECE];
            while (!inflater.finished()) {
                int some = inflater.inflate(piece);
                if (some == 0 && !inflater.finished() || out.size() > MessageCodec.MOST_BYTES) {
                    throw new BadFrameException("a deflated body is cut short or too long");
                }
                out.write(piece, 0, some);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new BadFrameException("a deflated body can't be read: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
