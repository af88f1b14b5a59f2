package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.zip.Deflater;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class DeflateCodecTest {
    /** The limit that data planes use: the maximum body of one message frame in dewplank.message. */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    private static byte[] inflate(byte[] deflated) throws CorruptDeflateException {
        return DeflateCodec.inflate(deflated, MAX_BYTES);
    }

    @Property(tries = 200)
    void inflatesDeflatedBytes(@ForAll @Size(max = 500) byte[] plain) throws CorruptDeflateException {
        assertArrayEquals(plain, inflate(DeflateCodec.deflate(plain)));
    }

    @Test
    void inflatesTheLargestConfiguration() throws CorruptDeflateException {
        byte[] noise = new byte[4 << 20];
        new Random(3).nextBytes(noise);
        assertArrayEquals(noise, inflate(DeflateCodec.deflate(noise)));
        byte[] full = new byte[MAX_BYTES];
        assertArrayEquals(full, inflate(DeflateCodec.deflate(full)));
        assertArrayEquals(new byte[0], inflate(DeflateCodec.deflate(new byte[0])));
    }

    @Test
    void rejectsTruncatedOrDamagedBytes() {
        byte[] deflated = DeflateCodec.deflate("a configuration, a configuration".getBytes(StandardCharsets.UTF_8));
        for (int length = 0; length < deflated.length; length++) {
            byte[] part = Arrays.copyOf(deflated, length);
            assertThrows(CorruptDeflateException.class, () -> inflate(part));
        }
        byte[] corrupted = deflated.clone();
        corrupted[corrupted.length - 1] ^= 1; // a byte of the checksum
        assertThrows(CorruptDeflateException.class, () -> inflate(corrupted));
        assertThrows(CorruptDeflateException.class, () -> inflate(new byte[] {1, 2, 3, 4, 5, 6, 7, 8}));
    }

    @Test
    void rejectsABodyThatNeedsADictionary() {
        Deflater deflater = new Deflater();
        deflater.setDictionary("config".getBytes(StandardCharsets.UTF_8));
        deflater.setInput("config".getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        byte[] out = new byte[100];
        int length = deflater.deflate(out);
        deflater.end();
        assertThrows(CorruptDeflateException.class, () -> inflate(Arrays.copyOf(out, length)));
    }

    /** Less than 100 kB that would inflate to 64 MiB: inflating stops at the size of a frame. */
    @Test
    void stopsADecompressionBomb() {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION);
        byte[] zeros = new byte[1 << 20];
        byte[] bomb = new byte[1 << 20];
        int length = 0;
        for (int i = 0; i < 64; i++) {
            deflater.setInput(zeros);
            length += deflater.deflate(bomb, length, bomb.length - length);
        }
        deflater.finish();
        length += deflater.deflate(bomb, length, bomb.length - length);
        deflater.end();
        byte[] tooLong = Arrays.copyOf(bomb, length);
        assertTrue(tooLong.length < 100_000);
        assertThrows(CorruptDeflateException.class, () -> inflate(tooLong));
    }
}
