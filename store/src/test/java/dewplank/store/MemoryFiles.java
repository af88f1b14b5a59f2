package dewplank.store;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Files in memory with the facts of the fleet's disks: what is synced lasts, all else may be there, torn or gone. */
final class MemoryFiles implements StoreFiles {
    /** What a loss of power does to a write that was not synced. */
    enum Unsynced { KEPT, TORN, GONE, DRAWN }

    private record Write(byte[] bytes, long position) {
    }

    /** A file, whatever its names are. */
    private final class Content {
        private byte[] now = new byte[0];
        private byte[] synced = new byte[0];
        private final List<Write> unsynced = new ArrayList<>();
        private boolean everSynced;
    }

    private final Map<Path, Content> names = new HashMap<>();
    private Map<Path, Content> syncedNames = new HashMap<>();
    private int writesLeft = Integer.MAX_VALUE;
    private boolean full;
    private boolean syncFails;
    private int syncs;
    private long longest;

    void fill(boolean isFull) {
        full = isFull;
    }

    /** Every write beyond this many fails, as does every sync from then on. */
    void failAfterWrites(int count) {
        writesLeft = count;
    }

    void failSyncs(boolean fails) {
        syncFails = fails;
    }

    int syncs() {
        return syncs;
    }

    /** The most bytes all files ever had together. */
    long longest() {
        return longest;
    }

    /** Damages a byte of a file. */
    void spoil(Path file, int position) {
        names.get(file).now[position] ^= 0x55;
    }

    /** Empties the files to this length. */
    void cut(Path file, int length) {
        Content content = names.get(file);
        content.now = Arrays.copyOf(content.now, length);
    }

    /** Loses power. */
    void losePower(Unsynced unsynced, SplittableRandom random) {
        names.clear();
        for (Map.Entry<Path, Content> entry : syncedNames.entrySet()) {
            names.put(entry.getKey(), entry.getValue());
        }
        for (Content content : names.values()) {
            content.now = content.synced;
            for (Write write : content.unsynced) {
                survive(content, write, unsynced, random);
            }
            content.unsynced.clear();
            content.synced = content.now.clone();
        }
        full = false;
        syncFails = false;
        writesLeft = Integer.MAX_VALUE;
    }

    private void survive(Content content, Write write, Unsynced unsynced, SplittableRandom random) {
        int fate = unsynced == Unsynced.DRAWN ? random.nextInt(3) : unsynced.ordinal();
        int length = write.bytes.length;
        if (fate == Unsynced.TORN.ordinal()) {
            length = random.nextInt(length + 1);
        } else if (fate == Unsynced.GONE.ordinal()) {
            return;
        }
        content.now = overwritten(content.now, Arrays.copyOf(write.bytes, length), write.position);
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
    public StoreFile open(Path file) {
        Content content = names.computeIfAbsent(file, name -> new Content());
        return new MemoryFile(file, content);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        refuseIfFull();
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(Path file) {
        names.remove(file);
    }

    @Override
    public void syncDirectory(Path directory) throws IOException {
        refuseSync();
        syncedNames = new HashMap<>(names);
    }

    private void refuseIfFull() throws IOException {
        if (full || writesLeft <= 0) {
            throw new IOException("no room");
        }
        writesLeft--;
    }

    private void refuseSync() throws IOException {
        if (syncFails || writesLeft <= 0) {
            throw new IOException("sync failed");
        }
        syncs++;
    }

    private void measure() {
        long sum = 0;
        for (Content content : names.values()) {
            sum += content.now.length;
        }
        longest = Math.max(longest, sum);
    }

    private final class MemoryFile implements StoreFile {
        private final Path name;
        private final Content content;

        MemoryFile(Path name, Content content) {
            this.name = name;
            this.content = content;
        }

        @Override
        public void read(ByteBuffer target, long position) throws IOException {
            if (position + target.remaining() > content.now.length) {
                throw new EOFException();
            }
            target.put(content.now, (int) position, target.remaining());
        }

        @Override
        public void write(ByteBuffer source, long position) throws IOException {
            refuseIfFull();
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            content.now = overwritten(content.now, bytes, position);
            content.unsynced.add(new Write(bytes, position));
            measure();
        }

        @Override
        public void truncate(long size) throws IOException {
            refuseIfFull();
            content.now = Arrays.copyOf(content.now, (int) Math.min(size, content.now.length));
        }

        @Override
        public void sync() throws IOException {
            refuseSync();
            content.synced = content.now.clone();
            content.unsynced.clear();
            if (!content.everSynced) {
                content.everSynced = true;
                syncedNames.put(name, content);
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
