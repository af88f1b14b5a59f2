package dewplank.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * One open file of a {@link StoreFiles}. Positions and sizes are in bytes. Not thread-safe: one thread at a time; every
 * method may block.
 */
public interface StoreFile extends Closeable {
    /**
     * Reads into the buffer until it is full.
     *
     * @throws java.io.EOFException if the file ends before the buffer is full
     */
    void read(ByteBuffer target, long position) throws IOException;

    /** Writes all bytes of the buffer. They are durable only after the next {@link #sync}. */
    void write(ByteBuffer source, long position) throws IOException;

    /** Truncates the file to this size. */
    void truncate(long size) throws IOException;

    /**
     * Makes all earlier writes durable. After a failure, data written since the last successful sync must not be relied
     * on, even if a later sync succeeds.
     */
    void sync() throws IOException;

    /** Returns the file's size. */
    long size() throws IOException;

    /** Closes the file without a sync. */
    @Override
    void close() throws IOException;
}
