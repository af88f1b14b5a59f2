package dewplank.configuration;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A change that an operator requests. Created by the control plane's operator API, applied by
 * {@link ConfigurationDocument#apply}.
 *
 * @param patch whether the body is a patch to the current configuration; otherwise it is a complete configuration
 * @param expectedVersion the version that the change is based on; 0 before the first configuration
 * @param body the body as received; not copied, so it must not be modified
 */
public record ChangeRequest(boolean patch, long expectedVersion, byte[] body) {
    /** A SHA-256 digest that identifies this request by its kind, the version it is based on, and its body. */
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
