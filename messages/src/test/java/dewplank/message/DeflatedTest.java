package dewplank.message;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import java.util.zip.Deflater;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class DeflatedTest {
    @Property(tries = 200)
    void whatIsDeflatedComesBack(@ForAll @Size(max = 500) byte[] plain) throws CorruptFrameException {
        assertArrayEquals(plain, Deflated.plain(Deflated.of(plain)));
    }

    @Test
    void theLargestConfigurationComesBack() throws CorruptFrameException {
        byte[] noise = new byte[4 << 20];
        new Random(3).nextBytes(noise);
        assertArrayEquals(noise, Deflated.plain(Deflated.of(noise)));
        byte[] full = new byte[MessageCodec.MAX_BODY_BYTES];
        assertArrayEquals(full, Deflated.plain(Deflated.of(full)));
        assertArrayEquals(new byte[0], Deflated.plain(Deflated.of(new byte[0])));
    }

    @Test
    void whatIsCutShortOrSpoiltIsTold() {
        byte[] deflated = Deflated.of("a configuration, a configuration".getBytes());
        for (int length = 0; length < deflated.length; length++) {
            byte[] part = Arrays.copyOf(deflated, length);
            assertThrows(CorruptFrameException.class, () -> Deflated.plain(part));
        }
        byte[] spoilt = deflated.clone();
        spoilt[spoilt.length - 1] ^= 1; // of the checksum
        assertThrows(CorruptFrameException.class, () -> Deflated.plain(spoilt));
        assertThrows(CorruptFrameException.class, () -> Deflated.plain(new byte[] {1, 2, 3, 4, 5, 6, 7, 8}));
    }

    @Test
    void aBodyThatNeedsADictionaryIsTold() {
        Deflater deflater = new Deflater();
        deflater.setDictionary("config".getBytes());
        deflater.setInput("config".getBytes());
        deflater.finish();
        byte[] out = new byte[100];
        int length = deflater.deflate(out);
        deflater.end();
        assertThrows(CorruptFrameException.class, () -> Deflated.plain(Arrays.copyOf(out, length)));
    }

    /** Less than a hundred kilobytes that would fill 64 megabytes: they are given up at the size of a frame. */
    @Test
    void aBombIsGivenUp() {
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
        byte[] whole = Arrays.copyOf(bomb, length);
        assertTrue(whole.length < 100_000);
        assertThrows(CorruptFrameException.class, () -> Deflated.plain(whole));
    }
}
