package dewplank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import org.h2.store.fs.FileBaseDefault;

/**
 * Adapts a {@link StoreFile} to the channel that an MVStore reads and writes. Locks always succeed and have no effect,
 * since only one process uses a data directory.
 */
final class StoreFileChannel extends FileBaseDefault {
    private final StoreFile file;

    StoreFileChannel(StoreFile file) {
        this.file = file;
    }

    @Override
    public long size() throws IOException {
        return file.size();
    }

    @Override
    public int read(ByteBuffer target, long position) throws IOException {
        long remaining = file.size() - position;
        if (remaining <= 0) {
            return -1;
        }
        int length = (int) Math.min(remaining, target.remaining());
        int limit = target.limit();
        target.limit(target.position() + length);
        file.read(target, position);
        target.limit(limit);
        return length;
    }

    @Override
    public int write(ByteBuffer source, long position) throws IOException {
        int length = source.remaining();
        file.write(source, position);
        return length;
    }

    @Override
    protected void implTruncate(long size) throws IOException {
        file.truncate(size);
    }

    @Override
    public void force(boolean metadata) throws IOException {
        file.sync();
    }

    @Override
    protected void implCloseChannel() throws IOException {
        file.close();
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) {
        return new NoOpLock(this, position, size, shared);
    }

    private static final class NoOpLock extends FileLock {
        NoOpLock(FileChannel channel, long position, long size, boolean shared) {
            super(channel, position, size, shared);
        }

        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void release() {
            // Nothing is locked.
        }
    }
}
