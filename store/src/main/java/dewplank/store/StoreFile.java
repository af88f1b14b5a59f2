package dewplank.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/** One open file. */
public interface StoreFile {
    /** Reads into the buffer until it is full; fails when the file ends before. */
    void read(ByteBuffer target, long position) throws IOException;

    /** Writes the whole buffer. */
    void write(ByteBuffer source, long position) throws IOException;

    /** Shortens the file. */
    void truncate(long size) throws IOException;

    /** Makes all that was written last. */
    void sync() throws IOException;

    /** How long the file is. */
    long size() throws IOException;

    /** Lets go of the file without a sync. */
    void close() throws IOException;
}
