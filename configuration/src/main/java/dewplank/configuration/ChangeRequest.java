package dewplank.configuration;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A change that an operator requests. Created by the control plane's operator API, applied by
 * {@link ConfigurationDocument#apply}.
 *
 * @param patch whether the body is a patch on top of the current configuration; else it is a complete one
 * @param expectedVersion the version that the operator builds on; 0 before the first
 * @param body the body as it was received; not copied, and not to be changed
 */
public record ChangeRequest(boolean patch, long expectedVersion, byte[] body) {
    /** A SHA-256 digest that identifies this request: its kind, the version it builds on, and its body. */
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
