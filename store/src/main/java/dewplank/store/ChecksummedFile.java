package dewplank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * A file that is replaced whole: written under another name, synced and renamed, with a checksum in front. What can't
 * be
 * read is as if it were not there: it is for state that is only kept to be quicker after a restart.
 */
public final class ChecksummedFile {
    private static final int HEAD_BYTES = Long.BYTES;

    private final StoreFiles files;
    private final Path directory;
    private final Path path;
    private final Path next;

    public ChecksummedFile(StoreFiles files, Path directory, String name) {
        this.files = files;
        this.directory = directory;
        this.path = directory.resolve(name);
        this.next = directory.resolve(name + ".next");
    }

    /** The content last replaced; empty where there is none or it is damaged. */
    public Optional<byte[]> read() {
        if (!files.exists(path)) {
            return Optional.empty();
        }
        try {
            StoreFile file = files.open(path);
            try {
                return read(file);
            } finally {
                file.close();
            }
        } catch (IOException unreadable) {
            return Optional.empty();
        }
    }

    private static Optional<byte[]> read(StoreFile file) throws IOException {
        if (file.size() < HEAD_BYTES) {
            return Optional.empty();
        }
        ByteBuffer whole = ByteBuffer.allocate((int) file.size());
        file.read(whole, 0);
        whole.flip();
        long sum = whole.getLong();
        byte[] content = new byte[whole.remaining()];
        whole.get(content);
        return sum == sum(content) ? Optional.of(content) : Optional.empty();
    }

    /** Replaces the content and syncs; on the disk thread. */
    public void replace(byte[] content) throws StoreException {
        try {
            files.delete(next);
            StoreFile file = files.open(next);
            try {
                file.write(
                        ByteBuffer.allocate(HEAD_BYTES + content.length)
                                .putLong(sum(content))
                                .put(content)
                                .flip(),
                        0);
                file.sync();
            } finally {
                file.close();
            }
            files.rename(next, path);
            files.syncDirectory(directory);
        } catch (IOException e) {
            throw new StoreException("cannot replace " + path.getFileName(), e);
        }
    }

    private static long sum(byte[] content) {
        CRC32 sum = new CRC32();
        sum.update(content);
        return sum.getValue();
    }
}
