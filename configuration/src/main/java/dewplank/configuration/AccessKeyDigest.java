package dewplank.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The SHA-256 digest of an access key, which stands for the key wherever keys are looked up or compared: the key itself
 * is neither kept nor printed, and a comparison takes the same time whatever the keys have in common. Immutable.
 */
public final class AccessKeyDigest {
    private static final int HASH_BYTES = 4;

    private final byte[] digest;

    private AccessKeyDigest(byte[] digest) {
        this.digest = digest;
    }

    /** The digest of a key's text in UTF-8. */
    public static AccessKeyDigest of(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return new AccessKeyDigest(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException impossible) { // every Java platform has it
            throw new IllegalStateException(impossible);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AccessKeyDigest key && MessageDigest.isEqual(digest, key.digest);
    }

    @Override
    public int hashCode() {
        int hash = 0;
        for (int index = 0; index < HASH_BYTES; index++) {
            hash = hash << Byte.SIZE | digest[index] & 0xff;
        }
        return hash;
    }

    /** Names no key. */
    @Override
    public String toString() {
        return "AccessKeyDigest";
    }
}
