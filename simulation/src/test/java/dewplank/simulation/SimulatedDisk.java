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
 * A disk in memory with the facts of the fleet's disks. After a loss of power a file keeps what its last sync covered,
 * and each later write is there, torn or missing by itself; so is each name that was made, renamed or removed without a
 * sync of the folder.
 */
final class SimulatedDisk implements StoreFiles {
    private record Write(byte[] bytes, long position) {}

    /** A file, whatever its names are. */
    private static final class Content {
        private byte[] now = new byte[0];
        private byte[] synced = new byte[0];
        private final List<Write> unsynced = new ArrayList<>();
        private final Path createdAs;

        Content(Path createdAs) {
            this.createdAs = createdAs;
        }
    }

    private final SplittableRandom random;
    private final TreeMap<Path, Content> names = new TreeMap<>();
    private final TreeMap<Path, Content> syncedNames = new TreeMap<>();
    private boolean full;
    private boolean syncFails;
    private int writesLeft = Integer.MAX_VALUE;
    private long maxTotalBytes;
    private long written;

    SimulatedDisk(SplittableRandom random) {
        this.random = random;
    }

    /** Refuses every write while full. */
    void fill(boolean isFull) {
        full = isFull;
    }

    /** Refuses every sync from now on, or no more; reads and writes go on. */
    void failSync(boolean fails) {
        syncFails = fails;
    }

    /** The process dies in the middle of its work: what it does beyond so many writes doesn't happen. */
    void dieAfterWrites(int count) {
        writesLeft = count;
    }

    /** The process that died is started again. */
    void reopen() {
        writesLeft = Integer.MAX_VALUE;
    }

    /** The most bytes that all files ever had together. */
    long maxTotalBytes() {
        return maxTotalBytes;
    }

    /** All bytes ever written. */
    long written() {
        return written;
    }

    boolean isEmpty() {
        return names.isEmpty();
    }

    /** An empty disk takes this one's place. */
    void wipe() {
        names.clear();
        syncedNames.clear();
    }

    void losePower() {
        List<Path> all = new ArrayList<>(names.keySet());
        syncedNames.keySet().stream().filter(path -> !names.containsKey(path)).forEach(all::add);
        boolean nothingLater = random.nextInt(4) == 0; // at some losses every later write is gone
        for (Path name : all) {
            Content after = random.nextBoolean() && !nothingLater ? names.get(name) : syncedNames.get(name);
            set(names, name, after);
            set(syncedNames, name, after);
        }
        for (Content content : names.values()) {
            content.now = content.synced;
            for (Write write : content.unsynced) {
                survive(content, write, nothingLater ? 2 : random.nextInt(3));
            }
            content.unsynced.clear();
            content.synced = content.now;
        }
    }

    private static void set(TreeMap<Path, Content> map, Path name, Content content) {
        if (content == null) {
            map.remove(name);
        } else {
            map.put(name, content);
        }
    }

    private void survive(Content content, Write write, int fate) {
        if (fate < 2) {
            int length = fate == 0 ? write.bytes.length : random.nextInt(write.bytes.length + 1);
            content.now = overwritten(content.now, Arrays.copyOf(write.bytes, length), write.position);
        }
    }

    private static byte[] overwritten(byte[] old, byte[] bytes, long position) {
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
            refuse();
            names.put(file, new Content(file));
        }
        return new SimulatedFile(file, names.get(file));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        refuse();
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
        refuseSync();
        syncedNames.clear();
        syncedNames.putAll(names);
    }

    private void refuse() throws IOException {
        refuseDead();
        if (full) {
            throw new IOException("no room");
        }
        writesLeft--;
    }

    private void refuseSync() throws IOException {
        refuseDead();
        if (syncFails) {
            throw new IOException("not synced");
        }
    }

    private void refuseDead() throws IOException {
        if (writesLeft <= 0) {
            throw new IOException("the process has died");
        }
    }

    private void measure() {
        long sum = 0;
        for (Content content : names.values()) {
            sum += content.now.length;
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
            if (position + target.remaining() > content.now.length) {
                throw new EOFException("the file ends at " + content.now.length);
            }
            target.put(content.now, (int) position, target.remaining());
        }

        @Override
        public void write(ByteBuffer source, long position) throws IOException {
            refuse();
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            content.now = overwritten(content.now, bytes, position);
            content.unsynced.add(new Write(bytes, position));
            written += bytes.length;
            measure();
        }

        @Override
        public void truncate(long size) throws IOException {
            refuse();
            content.now = Arrays.copyOf(content.now, (int) Math.min(size, content.now.length));
        }

        @Override
        public void sync() throws IOException {
            refuseSync();
            content.synced = content.now;
            content.unsynced.clear();
            if (name.equals(content.createdAs) && names.get(name) == content) {
                syncedNames.put(name, content); // a new file lasts once it is synced itself
            }
        }

        @Override
        public long size() {
            return content.now.length;
        }

        @Override
        public void close() {
            // Files stay as they are.
        }
    }
}
