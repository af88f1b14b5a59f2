package dewplank.configuration;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * The last accepted changes, oldest first, used to recognise a retried change. Each change is based on the version that
 * the previous one produced, so only the base version of the first one is stored. Immutable; owned by
 * {@link ConfigurationDocument}. Its encoded bytes are part of the register's payload and must stay readable.
 */
final class ChangeHistory {
    /** The history before the first change. */
    static final ChangeHistory EMPTY = new ChangeHistory(0, List.of());

    /** The current format: the base version of the oldest change, then each version with half its digest. */
    private static final int FORMAT = 2;
    /** The format of the first release: each change with its base version and its full digest. */
    private static final int FORMAT_WITH_BASES = 1;

    private static final int FULL_DIGEST_BYTES = 32;
    /** Stored bytes of each SHA-256 digest: the first half, as 128 bits distinguish all changes that can occur. */
    private static final int DIGEST_BYTES = 16;

    /** An accepted change: the version that it produced, and the first bytes of its digest. */
    private record Change(long version, byte[] digest) {}

    private final long oldestBaseVersion;
    private final List<Change> changes;

    private ChangeHistory(long oldestBaseVersion, List<Change> changes) {
        this.oldestBaseVersion = oldestBaseVersion;
        this.changes = changes;
    }

    /** The base version of the oldest change in the history; 0 while the history contains all accepted changes. */
    long oldestBaseVersion() {
        return oldestBaseVersion;
    }

    /** Whether the history contains the change, if any, that was accepted on top of this version. */
    boolean covers(long baseVersion) {
        return baseVersion >= oldestBaseVersion;
    }

    /** The version that this change produced; empty if the history does not contain the change. */
    OptionalLong findVersion(long baseVersion, byte[] fullDigest) {
        byte[] digest = Arrays.copyOf(fullDigest, DIGEST_BYTES);
        long base = oldestBaseVersion;
        for (Change change : changes) {
            if (base == baseVersion) {
                return Arrays.equals(change.digest(), digest)
                        ? OptionalLong.of(change.version())
                        : OptionalLong.empty();
            }
            base = change.version();
        }
        return OptionalLong.empty();
    }

    /** This history with one more change on top of the newest; drops the oldest change if the history is full. */
    ChangeHistory withChange(long version, byte[] fullDigest) {
        int dropped = Math.max(0, changes.size() + 1 - ConfigurationDocument.MAX_HISTORY_CHANGES);
        long base = dropped == 0 ? oldestBaseVersion : changes.get(dropped - 1).version();
        List<Change> next = new ArrayList<>(changes.subList(dropped, changes.size()));
        next.add(new Change(version, Arrays.copyOf(fullDigest, DIGEST_BYTES)));
        return new ChangeHistory(base, List.copyOf(next));
    }

    /** Writes the history in the current format. */
    void write(DataOutputStream out) throws IOException {
        out.writeByte(FORMAT);
        out.writeShort(changes.size());
        out.writeLong(oldestBaseVersion);
        for (Change change : changes) {
            out.writeLong(change.version());
            out.write(change.digest());
        }
    }

    /** Reads either format; throws if the format is unknown or the bytes are truncated. */
    static ChangeHistory read(DataInputStream in) throws IOException {
        int format = in.readByte();
        if (format != FORMAT && format != FORMAT_WITH_BASES) {
            throw new IOException("unknown format of a configuration document");
        }
        int count = in.readUnsignedShort();
        long oldestBaseVersion = format == FORMAT ? in.readLong() : 0;
        List<Change> changes = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            long version = in.readLong();
            if (format == FORMAT_WITH_BASES) {
                long base = in.readLong();
                oldestBaseVersion = index == 0 ? base : oldestBaseVersion;
            }
            byte[] digest = new byte[format == FORMAT ? DIGEST_BYTES : FULL_DIGEST_BYTES];
            in.readFully(digest);
            changes.add(new Change(version, Arrays.copyOf(digest, DIGEST_BYTES)));
        }
        return new ChangeHistory(oldestBaseVersion, List.copyOf(changes));
    }
}
