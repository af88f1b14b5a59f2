package dewplank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * A small file that is replaced atomically and verified by a checksum when it is read.
 *
 * <p>The new content is written to a temporary file, which is synced and renamed. An unreadable or damaged file is
 * treated as missing, so this class is only suitable for state that a process can do without, or can take from its
 * settings. The layout is a CRC-32 as a long of eight bytes, then the content. Not thread-safe: one thread at a time.
 */
public final class ChecksummedFile {
    private static final int CHECKSUM_BYTES = Long.BYTES;

    /**
     * Maximum file size, far above the size of the largest endpoint list. A larger file was not written by this class
     * and would not fit into memory.
     */
    static final long MAX_FILE_BYTES = 16 * 1024 * 1024;

    private static final String NEXT_SUFFIX = ".next";

    private final StoreFiles files;
    private final Path directory;
    private final Path path;
    private final Path nextPath;

    /** Uses a file in this directory; this constructor does not access the disk. */
    public ChecksummedFile(StoreFiles files, Path directory, String name) {
        this.files = files;
        this.directory = directory;
        this.path = directory.resolve(name);
        this.nextPath = directory.resolve(name + NEXT_SUFFIX);
    }

    /** Returns the content that was last written completely; empty if there is none or the file is damaged. */
    public Optional<byte[]> read() {
        if (!files.exists(path)) {
            return Optional.empty();
        }
        try (StoreFile file = files.open(path)) {
            return read(file);
        } catch (IOException unreadable) {
            return Optional.empty();
        }
    }

    private static Optional<byte[]> read(StoreFile file) throws IOException {
        long size = file.size();
        if (size < CHECKSUM_BYTES || size > MAX_FILE_BYTES) {
            return Optional.empty();
        }
        ByteBuffer bytes = ByteBuffer.allocate((int) size);
        file.read(bytes, 0);
        bytes.flip();
        long checksum = bytes.getLong();
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        return checksum == checksum(content) ? Optional.of(content) : Optional.empty();
    }

    /**
     * Replaces the content, which is durable when this method returns. Blocks on syncs: called on the disk thread, or
     * before the event loop runs.
     *
     * @throws StoreException if the content is too large, or the disk failed; the file then has the old content, or
     *     after a disk failure possibly the new one
     */
    public void replace(byte[] content) throws StoreException {
        if (content.length > MAX_FILE_BYTES - CHECKSUM_BYTES) {
            throw new StoreException(path.getFileName() + " is too large: " + content.length + " bytes");
        }
        try {
            files.delete(nextPath);
            try (StoreFile next = files.open(nextPath)) {
                next.write(
                        ByteBuffer.allocate(CHECKSUM_BYTES + content.length)
                                .putLong(checksum(content))
                                .put(content)
                                .flip(),
                        0);
                next.sync();
            }
            files.rename(nextPath, path);
            files.syncDirectory(directory);
        } catch (IOException e) {
            throw new StoreException("cannot replace " + path.getFileName(), e);
        }
    }

    private static long checksum(byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(content);
        return crc.getValue();
    }
}
