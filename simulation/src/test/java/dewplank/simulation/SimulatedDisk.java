package dewplank.simulation;

import dewplank.store.StoreFile;
import dewplank.store.StoreFiles;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A disk in memory with the guarantees of the fleet's disks. After a power loss a file has the content of its last
 * sync, and each later write is independently present, torn or missing. Likewise each file creation, renaming or
 * removal without a sync of the directory is independently present or missing.
 */
final class SimulatedDisk implements StoreFiles {
    private record Write(byte[] bytes, long position) {}

    /** The content of a file, independent of its names. */
    private static final class Content {
        private byte[] current = new byte[0];
        private byte[] synced = new byte[0];
        private final List<Write> unsynced = new ArrayList<>();
        private final Path originalName;

        Content(Path originalName) {
            this.originalName = originalName;
        }
    }

    private final SplittableRandom random;
    private final TreeMap<Path, Content> names = new TreeMap<>();
    private final TreeMap<Path, Content> syncedNames = new TreeMap<>();
    private boolean full;
    private boolean syncFails;
    private int writesLeft = Integer.MAX_VALUE;
    private long maxTotalBytes;
    private long bytesWritten;

    SimulatedDisk(SplittableRandom random) {
        this.random = random;
    }

    /** Makes the disk full or not full; a full disk rejects every write. */
    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Makes every sync fail, or succeed again; reads and writes are not affected. */
    void setSyncFailing(boolean fails) {
        syncFails = fails;
    }

    /** Simulates termination of the process during a task: all operations after the given number of writes fail. */
    void failAfterWrites(int count) {
        writesLeft = count;
    }

    /** Removes the limit of {@link #failAfterWrites}, as the process restarts. */
    void allowWrites() {
        writesLeft = Integer.MAX_VALUE;
    }

    /** The highest total size that all files have had. */
    long maxTotalBytes() {
        return maxTotalBytes;
    }

    /** The total number of bytes written. */
    long bytesWritten() {
        return bytesWritten;
    }

    boolean isEmpty() {
        return names.isEmpty();
    }

    /** Replaces the disk with an empty one. */
    void wipe() {
        names.clear();
        syncedNames.clear();
    }

    void losePower() {
        List<Path> all = new ArrayList<>(names.keySet());
        syncedNames.keySet().stream().filter(path -> !names.containsKey(path)).forEach(all::add);
        boolean losesAllUnsynced = random.nextInt(4) == 0; // some power losses discard all writes since the last sync
        for (Path name : all) {
            Content after = random.nextBoolean() && !losesAllUnsynced ? names.get(name) : syncedNames.get(name);
            set(names, name, after);
            set(syncedNames, name, after);
        }
        for (Content content : names.values()) {
            content.current = content.synced;
            for (Write write : content.unsynced) {
                applyAfterPowerLoss(content, write, losesAllUnsynced ? 2 : random.nextInt(3));
            }
            content.unsynced.clear();
            content.synced = content.current;
        }
    }

    private static void set(TreeMap<Path, Content> map, Path name, Content content) {
        if (content == null) {
            map.remove(name);
        } else {
            map.put(name, content);
        }
    }

    private void applyAfterPowerLoss(Content content, Write write, int outcome) {
        if (outcome < 2) {
            int length = outcome == 0 ? write.bytes.length : random.nextInt(write.bytes.length + 1);
            content.current = overwrite(content.current, Arrays.copyOf(write.bytes, length), write.position);
        }
    }

    private static byte[] overwrite(byte[] old, byte[] bytes, long position) {
        byte[] result = Arrays.copyOf(old, (int) Math.max(old.length, position + bytes.length));
        System.arraycopy(bytes, 0, result, (int) position, bytes.length);
        return result;
    }

    @Override
    public boolean exists(Path file) {
        return names.containsKey(file);
    }

    @Override
    public StoreFile open(Path file) throws IOException {
        if (!names.containsKey(file)) {
            checkWritable();
            names.put(file, new Content(file));
        }
        return new SimulatedFile(file, names.get(file));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        checkWritable();
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(Path file) {
        if (writesLeft > 0) {
            names.remove(file);
        }
    }

    @Override
    public void syncDirectory(Path directory) throws IOException {
        checkSyncable();
        syncedNames.clear();
        syncedNames.putAll(names);
    }

    private void checkWritable() throws IOException {
        checkProcessAlive();
        if (full) {
            throw new IOException("no space left");
        }
        writesLeft--;
    }

    private void checkSyncable() throws IOException {
        checkProcessAlive();
        if (syncFails) {
            throw new IOException("sync failed");
        }
    }

    private void checkProcessAlive() throws IOException {
        if (writesLeft <= 0) {
            throw new IOException("the process has terminated");
        }
    }

    private void updateMaxTotalBytes() {
        long sum = 0;
        for (Content content : names.values()) {
            sum += content.current.length;
        }
        maxTotalBytes = Math.max(maxTotalBytes, sum);
    }

    private final class SimulatedFile implements StoreFile {
        private final Path name;
        private final Content content;

        SimulatedFile(Path name, Content content) {
            this.name = name;
            this.content = content;
        }

        @Override
        public void read(ByteBuffer target, long position) throws IOException {
            if (position + target.remaining() > content.current.length) {
                throw new EOFException("the file ends at " + content.current.length);
            }
            target.put(content.current, (int) position, target.remaining());
        }

        @Override
        public void write(ByteBuffer source, long position) throws IOException {
            checkWritable();
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            content.current = overwrite(content.current, bytes, position);
            content.unsynced.add(new Write(bytes, position));
            bytesWritten += bytes.length;
            updateMaxTotalBytes();
        }

        @Override
        public void truncate(long size) throws IOException {
            checkWritable();
            content.current = Arrays.copyOf(content.current, (int) Math.min(size, content.current.length));
        }

        @Override
        public void sync() throws IOException {
            checkSyncable();
            content.synced = content.current;
            content.unsynced.clear();
            if (name.equals(content.originalName) && names.get(name) == content) {
                syncedNames.put(name, content); // syncing a new file also persists its directory entry
            }
        }

        @Override
        public long size() {
            return content.current.length;
        }

        @Override
        public void close() {
            // Closing does not change the file.
        }
    }
}
