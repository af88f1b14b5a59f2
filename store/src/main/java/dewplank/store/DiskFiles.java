package dewplank.store;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The files of the local file system, through {@link FileChannel}s. Stateless; any thread may use it. */
public final class DiskFiles implements StoreFiles {
    @Override
    public boolean exists(Path file) {
        return Files.exists(file);
    }

    @Override
    public StoreFile open(Path file) throws IOException {
        return new DiskFile(
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.CREATE));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    @Override
    public Closeable lock(Path file) throws IOException {
        boolean isNew = !exists(file);
        FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.CREATE);
        try {
            if (channel.tryLock() == null) {
                throw new IOException("another process holds the lock on " + file);
            }
            if (isNew) {
                channel.force(true);
                syncDirectory(file.toAbsolutePath().getParent());
            }
            return channel;
        } catch (IOException | OverlappingFileLockException e) {
            channel.close();
            throw e instanceof IOException io ? io : new IOException("this process holds the lock on " + file, e);
        }
    }

    @Override
    public void syncDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static final class DiskFile implements StoreFile {
        private final FileChannel channel;

        DiskFile(FileChannel channel) {
            this.channel = channel;
        }

        @Override
        public void read(ByteBuffer target, long position) throws IOException {
            long at = position;
            while (target.hasRemaining()) {
                int count = channel.read(target, at);
                if (count < 0) {
                    throw new EOFException("the file ends at " + at);
                }
                at += count;
            }
        }

        @Override
        public void write(ByteBuffer source, long position) throws IOException {
            long at = position;
            while (source.hasRemaining()) {
                at += channel.write(source, at);
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
