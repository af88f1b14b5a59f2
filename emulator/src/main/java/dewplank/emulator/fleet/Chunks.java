package dewplank.emulator.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the chunks of a body of unknown length (RFC 9112, section 7.1). */
final class Chunks {
    private Chunks() {}

    static ByteBuffer of(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        return bytes(Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }

    static ByteBuffer last() {
        return bytes("0\r\n\r\n");
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
