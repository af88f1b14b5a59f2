package dewplank.configuration;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A change that an operator asks for.
 *
 * @param patch whether the body is a change on top of the current configuration rather than a whole one
 * @param expectedVersion the version that the operator builds on
 * @param body the body as it came
 */
public record ChangeRequest(boolean patch, long expectedVersion, byte[] body) {
    /** A SHA-256 digest that tells this request from any other: its kind, the version it builds on, and its body. */
    public byte[] digest() {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update((byte) (patch ? 1 : 0));
            sha256.update(ByteBuffer.allocate(Long.BYTES).putLong(0, expectedVersion));
            return sha256.digest(body);
        } catch (NoSuchAlgorithmException absent) {
            throw new IllegalStateException("every Java platform has SHA-256", absent);
        }
    }
}
