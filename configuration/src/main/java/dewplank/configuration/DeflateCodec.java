package dewplank.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses configurations in the zlib format (RFC 1950) for links and disks.
 *
 * <p>The register's payload and the updates to data planes both use it. Stateless; any thread may call it.
 */
public final class DeflateCodec {
    private static final int CHUNK_BYTES = 8 * 1024;
    /** Expected ratio of plain to deflated bytes; only determines the initial size of buffers. */
    private static final int EXPECTED_RATIO = 4;

    private DeflateCodec() {}

    /** Deflates with the fastest compression level, since updates are compressed on the event loop. */
    public static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / EXPECTED_RATIO + CHUNK_BYTES);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Restores the bytes that {@link #deflate} compressed.
     *
     * @param maxBytes the maximum size of the output; inflating stops once the output exceeds it by more than one
     *     chunk, which limits the memory that a decompression bomb uses
     * @throws CorruptDeflateException if the bytes are truncated, damaged or exceed the limit
     */
    public static byte[] inflate(byte[] deflated, int maxBytes) throws CorruptDeflateException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream out = new ByteArrayOutputStream(deflated.length + CHUNK_BYTES);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0 && !inflater.finished() || out.size() > maxBytes) {
                    throw new CorruptDeflateException("deflated bytes are truncated or inflate to more than the limit");
                }
                out.write(chunk, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new CorruptDeflateException("deflated bytes can't be inflated: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
