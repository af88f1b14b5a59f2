package dewplank.configuration;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses configurations, which repeat themselves, for links and disks. */
public final class Compressed {
    private static final int PIECE_BYTES = 8 * 1024;
    /** A guess at how much shorter they become, for the first size of buffers. */
    private static final int USUAL_RATIO = 4;

    private Compressed() {}

    /** The bytes, deflated. */
    public static byte[] of(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / USUAL_RATIO + PIECE_BYTES);
            byte[] piece = new byte[PIECE_BYTES];
            while (!deflater.finished()) {
                out.write(piece, 0, deflater.deflate(piece));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * What was compressed.
     *
     * @param mostBytes longer ones are refused
     */
    public static byte[] plain(byte[] deflated, int mostBytes) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream out = new ByteArrayOutputStream(deflated.length * USUAL_RATIO + PIECE_BYTES);
            byte[] piece = new byte[PIECE_BYTES];
            while (!inflater.finished()) {
                int some = inflater.inflate(piece);
                if (some == 0 && !inflater.finished() || out.size() > mostBytes) {
                    throw new IOException("deflated bytes are cut short or too long");
                }
                out.write(piece, 0, some);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("deflated bytes can't be read: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
