package dewplank.configuration;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The last changes that were taken, oldest first; immutable. Each change builds on the version that the one before it
 * brought, so that only the first one's base is kept.
 */
final class ChangeHistory {
    /** Answer of {@link #find} for a change that is not remembered. */
    static final long NOT_FOUND = -1;
    /** Nothing was taken yet. */
    static final ChangeHistory EMPTY = new ChangeHistory(0, List.of());

    private static final int FORMAT = 2;
    /** As the first release wrote it: each change with its base and the whole digest. */
    private static final int FORMAT_WITH_BASES = 1;

    private static final int WHOLE_DIGEST_BYTES = 32;
    /** Half of a SHA-256 digest is kept: 128 bits tell any number of changes apart that can occur. */
    private static final int DIGEST_BYTES = 16;

    /** A change that was taken: the version that it brought, and the start of its digest. */
    private record Change(long version, byte[] digest) {}

    private final long oldestBase;
    private final List<Change> changes;

    private ChangeHistory(long oldestBase, List<Change> changes) {
        this.oldestBase = oldestBase;
        this.changes = changes;
    }

    /** The version that the oldest remembered change was built on; 0 while all that were ever taken are remembered. */
    long oldestBase() {
        return oldestBase;
    }

    /** Whether it is known which change, if any, was taken on top of this version. */
    boolean reaches(long baseVersion) {
        return baseVersion >= oldestBase;
    }

    /** The version that this change brought; {@link #NOT_FOUND} where it is not remembered. */
    long find(long baseVersion, byte[] wholeDigest) {
        byte[] digest = Arrays.copyOf(wholeDigest, DIGEST_BYTES);
        long base = oldestBase;
        for (Change change : changes) {
            if (base == baseVersion) {
                return Arrays.equals(change.digest(), digest) ? change.version() : NOT_FOUND;
            }
            base = change.version();
        }
        return NOT_FOUND;
    }

    /** This history with one more change, on top of the newest. */
    ChangeHistory with(long version, byte[] wholeDigest) {
        int dropped = Math.max(0, changes.size() + 1 - ConfigurationDocument.HISTORY);
        long base = dropped == 0 ? oldestBase : changes.get(dropped - 1).version();
        List<Change> next = new ArrayList<>(changes.subList(dropped, changes.size()));
        next.add(new Change(version, Arrays.copyOf(wholeDigest, DIGEST_BYTES)));
        return new ChangeHistory(base, List.copyOf(next));
    }

    void write(DataOutputStream out) throws IOException {
        out.writeByte(FORMAT);
        out.writeShort(changes.size());
        out.writeLong(oldestBase);
        for (Change change : changes) {
            out.writeLong(change.version());
            out.write(change.digest());
        }
    }

    static ChangeHistory read(DataInputStream in) throws IOException {
        int format = in.readByte();
        if (format != FORMAT && format != FORMAT_WITH_BASES) {
            throw new IOException("unknown format of a configuration document");
        }
        int count = in.readUnsignedShort();
        long oldestBase = format == FORMAT ? in.readLong() : 0;
        List<Change> changes = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            long version = in.readLong();
            if (format == FORMAT_WITH_BASES) {
                long base = in.readLong();
                oldestBase = index == 0 ? base : oldestBase;
            }
            byte[] digest = new byte[format == FORMAT ? DIGEST_BYTES : WHOLE_DIGEST_BYTES];
            in.readFully(digest);
            changes.add(new Change(version, Arrays.copyOf(digest, DIGEST_BYTES)));
        }
        return new ChangeHistory(oldestBase, List.copyOf(changes));
    }
}
