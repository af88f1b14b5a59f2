package dewplank.store;

import dewplank.register.DurableState;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/**
 * What an acceptor keeps: its state and small counters, in one MVStore file. The file is begun anew under another name
 * and renamed when it grows too long or a write failed; until then the old one stays as it was. Saving belongs to one
 * thread; {@link #numbers()} may be called by any.
 */
public final class AcceptorStore implements AutoCloseable {
    private static final String NAME = "acceptor.mv";
    private static final String NEXT_NAME = "acceptor.mv.next";

    /** A file may fill this part of the room: while one is begun anew there are two, and the disk has other uses. */
    private static final int DISK_FRACTION = 4;

    /** Longer files only cost disk: beginning anew writes at most a few hundred kilobytes. */
    private static final long MAX_FILE_BYTES = 8L << 20;

    private static final int IDENTITY_BITS = 80;
    private static final int IDENTITY_RADIX = 36;

    private final Path directory;
    private final StoreFiles files;
    private final long maxFileBytes;
    private StateFile current;
    private DurableState state;
    private Map<String, Long> fencingTokens = new HashMap<>();
    private boolean isNew;
    private boolean needsRewrite;

    private AcceptorStore(Path directory, StoreFiles files, long mostBytes) {
        this.directory = directory;
        this.files = files;
        this.maxFileBytes = Math.min(MAX_FILE_BYTES, mostBytes / DISK_FRACTION);
    }

    /** Opens the store of this directory; a disk without one gets a new identity, synced before this returns. */
    public static AcceptorStore open(Path directory, StoreFiles files, long mostBytes) throws StoreException {
        return open(directory, files, mostBytes, randomIdentity());
    }

    /** The same; a disk without a store gets the given identity. */
    public static AcceptorStore open(Path directory, StoreFiles files, long mostBytes, String identityIfNew)
            throws StoreException {
        AcceptorStore store = new AcceptorStore(directory, files, mostBytes);
        try {
            files.delete(directory.resolve(NEXT_NAME));
            if (files.exists(directory.resolve(NAME))) {
                store.recover();
            } else {
                store.create(identityIfNew);
            }
        } catch (IOException failure) {
            store.close();
            throw new StoreException("cannot open the acceptor's store in " + directory, failure);
        }
        return store;
    }

    /** The state last saved, or the one found at the opening. */
    public DurableState recovered() {
        return state;
    }

    /** Whether there was no store here, so that the identity is new. */
    public boolean isNew() {
        return isNew;
    }

    /** Saves and syncs; when it fails the state kept is the one before or this one. */
    public void save(DurableState next) throws StoreException {
        if (!next.identity().equals(state.identity())) {
            throw new StoreException("the state of another identity: " + next.identity());
        }
        write(next, fencingTokens);
        state = next;
    }

    /** The counters saved. */
    public synchronized Map<String, Long> fencingTokens() {
        return Map.copyOf(fencingTokens);
    }

    /** Saves and syncs one counter. */
    public void saveFencingToken(String name, long value) throws StoreException {
        Map<String, Long> next = new HashMap<>(fencingTokens());
        next.put(name, value);
        write(state, next);
        keep(next);
    }

    /** Lets go of the file. */
    @Override
    public void close() {
        if (current != null) {
            current.close();
        }
        current = null;
        needsRewrite = true;
    }

    /**
     * Takes what the file holds, and makes it last before anyone rests on it: after a kill the system may still hold a
     * save that was cut short, which a later loss of power would take back.
     */
    private void recover() throws IOException {
        current = new StateFile(files, directory.resolve(NAME));
        state = current.read();
        keep(current.readFencingTokens());
        current.sync();
        files.syncDirectory(directory);
    }

    /** The identity of a disk that nobody has seen before. */
    public static String randomIdentity() {
        return new BigInteger(IDENTITY_BITS, new SecureRandom()).toString(IDENTITY_RADIX);
    }

    private void create(String identity) throws IOException {
        DurableState fresh = DurableState.fresh(identity);
        rewrite(fresh, fencingTokens);
        state = fresh;
        isNew = true;
    }

    private synchronized void keep(Map<String, Long> next) {
        fencingTokens = next;
    }

    private void write(DurableState next, Map<String, Long> nextNumbers) throws StoreException {
        try {
            if (needsRewrite || current.sizeBytes() > maxFileBytes) {
                rewrite(next, nextNumbers);
            } else {
                current.write(next, nextNumbers);
            }
        } catch (IOException failure) {
            needsRewrite = true;
            throw new StoreException("cannot save the acceptor's state", failure);
        }
        needsRewrite = false;
    }

    /**
     * Writes all into a new file and gives it the name once it is synced. After a failed sync nothing that was written
     * to the old file since can be trusted, so that going on with it is ruled out.
     */
    private void rewrite(DurableState next, Map<String, Long> nextNumbers) throws IOException {
        Path path = directory.resolve(NEXT_NAME);
        files.delete(path);
        StateFile fresh = new StateFile(files, path);
        try {
            fresh.write(next, nextNumbers);
            files.rename(path, directory.resolve(NAME));
            files.syncDirectory(directory);
        } catch (IOException failure) {
            fresh.close();
            throw failure;
        }
        if (current != null) {
            current.close();
        }
        current = fresh;
    }
}
