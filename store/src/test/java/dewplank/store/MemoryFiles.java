package dewplank.store;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/** Files in memory that fail like disks: synced data survives a power loss, other data may survive, be torn or lost. */
final class MemoryFiles implements StoreFiles {
    /** The effect of a power loss on a write that was not synced. */
    enum Unsynced {
        SURVIVES,
        TORN,
        LOST,
        RANDOM
    }

    /** A write of bytes to a file, or a truncation to the position if there are no bytes. */
    private record Write(byte[] bytes, long position) {}

    /** A byte buffer that grows without a copy at each write. */
    private static final class Bytes {
        private byte[] buffer = new byte[0];
        private int length;

        void apply(Write write) {
            int position = (int) write.position;
            if (write.bytes == null) {
                Arrays.fill(buffer, Math.min(position, length), length, (byte) 0);
                length = Math.min(position, length);
                return;
            }
            int end = position + write.bytes.length;
            if (end > buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.max(end, 2 * buffer.length));
            }
            System.arraycopy(write.bytes, 0, buffer, position, write.bytes.length);
            length = Math.max(length, end);
        }

        void copyFrom(Bytes other) {
            buffer = other.buffer.clone();
            length = other.length;
        }
    }

    /** The content of a file, independent of its names. */
    private static final class Content {
        private final Bytes current = new Bytes();
        private final Bytes synced = new Bytes();
        private final List<Write> unsynced = new ArrayList<>();

        void change(Write write) {
            current.apply(write);
            unsynced.add(write);
        }

        void sync() {
            unsynced.forEach(synced::apply);
            unsynced.clear();
        }
    }

    private final Map<Path, Content> names = new HashMap<>();
    private Map<Path, Content> syncedNames = new HashMap<>();
    private int writesLeft = Integer.MAX_VALUE;
    private int stepsLeft = Integer.MAX_VALUE;
    private boolean full;
    private boolean syncFails;
    private int syncs;
    private long maxTotalBytes;

    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Makes every write after this many fail, and every sync from then on. */
    void failAfterWrites(int count) {
        writesLeft = count;
    }

    /** Terminates the process after this many changes, deletions and syncs of files and names; later ones fail. */
    void terminateAfterSteps(int count) {
        stepsLeft = count;
    }

    void failSyncs(boolean fails) {
        syncFails = fails;
    }

    int syncs() {
        return syncs;
    }

    /** The number of files. */
    int fileCount() {
        return names.size();
    }

    /** The maximum total size that the files have had. */
    long maxTotalBytes() {
        return maxTotalBytes;
    }

    /** Damages a byte of a file. */
    void corrupt(Path file, int position) {
        names.get(file).current.buffer[position] ^= 0x55;
    }

    /** Truncates a file to this length. */
    void truncate(Path file, int length) {
        names.get(file).change(new Write(null, length));
    }

    /**
     * Simulates a power loss. A write that was not synced may survive in part or completely. A name that was created,
     * changed or deleted since the last sync of its directory may be the old or the new one, independently of others.
     */
    void losePower(Unsynced unsynced, SplittableRandom random) {
        Map<Path, Content> remaining = new TreeMap<>();
        Set<Path> allNames = new TreeSet<>(syncedNames.keySet());
        allNames.addAll(names.keySet());
        for (Path path : allNames) {
            boolean isNew = unsynced == Unsynced.SURVIVES || unsynced == Unsynced.RANDOM && random.nextBoolean();
            Content content = isNew ? names.get(path) : syncedNames.get(path);
            if (content != null) {
                remaining.put(path, content);
            }
        }
        names.clear();
        names.putAll(remaining);
        syncedNames = new HashMap<>(names);
        for (Content content : new LinkedHashSet<>(remaining.values())) {
            List<Write> writes = new ArrayList<>(content.unsynced);
            content.unsynced.clear();
            content.current.copyFrom(content.synced);
            for (Write write : writes) {
                applyAfterPowerLoss(content, write, unsynced, random);
            }
            content.sync();
        }
        recoverWrites();
    }

    /** Makes writes and syncs succeed again. */
    void recoverWrites() {
        full = false;
        syncFails = false;
        writesLeft = Integer.MAX_VALUE;
        stepsLeft = Integer.MAX_VALUE;
    }

    private static void applyAfterPowerLoss(Content content, Write write, Unsynced unsynced, SplittableRandom random) {
        int effect = unsynced == Unsynced.RANDOM ? random.nextInt(3) : unsynced.ordinal();
        if (effect == Unsynced.SURVIVES.ordinal()) {
            content.change(write);
        } else if (effect == Unsynced.TORN.ordinal() && write.bytes != null) {
            int length = random.nextInt(write.bytes.length + 1);
            content.change(new Write(Arrays.copyOf(write.bytes, length), write.position));
        }
    }

    @Override
    public boolean exists(Path file) {
        return names.containsKey(file);
    }

    @Override
    public StoreFile open(Path file) {
        Content content = names.computeIfAbsent(file, name -> new Content());
        return new MemoryFile(content);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        failIfFull();
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(Path file) throws IOException {
        failIfTerminated();
        names.remove(file);
    }

    @Override
    public void syncDirectory(Path directory) throws IOException {
        failIfSyncsAreFailing();
        syncedNames = new HashMap<>(names);
    }

    private void failIfFull() throws IOException {
        if (full || writesLeft <= 0) {
            throw new IOException("disk full");
        }
        failIfTerminated();
        writesLeft--;
    }

    private void failIfTerminated() throws IOException {
        if (stepsLeft <= 0) {
            throw new IOException("the process has terminated");
        }
        stepsLeft--;
    }

    private void failIfSyncsAreFailing() throws IOException {
        if (syncFails || writesLeft <= 0) {
            throw new IOException("sync failed");
        }
        failIfTerminated();
        syncs++;
    }

    private void updateMaxTotalBytes() {
        long sum = 0;
        for (Content content : names.values()) {
            sum += content.current.length;
        }
        maxTotalBytes = Math.max(maxTotalBytes, sum);
    }

    private final class MemoryFile implements StoreFile {
        private final Content content;

        MemoryFile(Content content) {
            this.content = content;
        }

        @Override
        public void read(ByteBuffer target, long position) throws IOException {
            if (position + target.remaining() > content.current.length) {
                throw new EOFException();
            }
            target.put(content.current.buffer, (int) position, target.remaining());
        }

        @Override
        public void write(ByteBuffer source, long position) throws IOException {
            failIfFull();
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            content.change(new Write(bytes, position));
            updateMaxTotalBytes();
        }

        @Override
        public void truncate(long size) throws IOException {
            failIfFull();
            content.change(new Write(null, size));
        }

        @Override
        public void sync() throws IOException {
            failIfSyncsAreFailing();
            content.sync();
        }

        @Override
        public long size() {
            return content.current.length;
        }

        @Override
        public void close() {
            // The content stays in memory.
        }
    }
}
