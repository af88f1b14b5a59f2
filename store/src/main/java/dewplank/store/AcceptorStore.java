package dewplank.store;

import dewplank.register.DurableState;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/**
 * The durable state of an acceptor and of the lease voter beside it, in one MVStore file.
 *
 * <p>The file only grows. When it is too large, or a write has failed, the whole state is rewritten into a new file,
 * which then takes the name; until then the old file stays as it was. Thus a power loss at any moment leaves the state
 * last saved or the one being saved.
 *
 * <p>Opening and saving block on syncs. One thread at a time may save, which is the disk thread once a process runs;
 * {@link #fencingTokens()} may be called by any thread.
 */
public final class AcceptorStore implements AutoCloseable {
    private static final String FILE_NAME = "acceptor.mv";
    private static final String NEXT_FILE_NAME = "acceptor.mv.next";

    /** A file may fill one of so many parts of the disk quota: a rewrite holds two files, and others need disk too. */
    private static final int QUOTA_PARTS = 4;

    /** Larger files would only cost disk, since a rewrite writes a few hundred kilobytes at most. */
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

    private AcceptorStore(Path directory, StoreFiles files, long diskQuotaBytes) {
        this.directory = directory;
        this.files = files;
        this.maxFileBytes = Math.min(MAX_FILE_BYTES, diskQuotaBytes / QUOTA_PARTS);
    }

    /**
     * Opens the store of this directory. A disk without one gets a random identity.
     *
     * @param diskQuotaBytes what the process may use of the disk
     * @throws StoreException if the store cannot be read or created; a file that is there stays
     */
    public static AcceptorStore open(Path directory, StoreFiles files, long diskQuotaBytes) throws StoreException {
        return open(directory, files, diskQuotaBytes, randomIdentity());
    }

    /**
     * Opens the store of this directory. What it finds or creates is synced before this returns.
     *
     * @param diskQuotaBytes what the process may use of the disk
     * @param identityIfNew the identity of a disk without a store
     * @throws StoreException if the store cannot be read or created; a file that is there stays
     */
    public static AcceptorStore open(Path directory, StoreFiles files, long diskQuotaBytes, String identityIfNew)
            throws StoreException {
        AcceptorStore store = new AcceptorStore(directory, files, diskQuotaBytes);
        try {
            files.delete(directory.resolve(NEXT_FILE_NAME));
            if (files.exists(directory.resolve(FILE_NAME))) {
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

    /** Draws the identity of a new disk. */
    public static String randomIdentity() {
        return new BigInteger(IDENTITY_BITS, new SecureRandom()).toString(IDENTITY_RADIX);
    }

    /** Returns the state last saved, or the one recovered when the store was opened. */
    public DurableState recovered() {
        return state;
    }

    /** Whether opening found no store, so that the identity has never voted. */
    public boolean isNew() {
        return isNew;
    }

    /**
     * Saves and syncs a state.
     *
     * @throws StoreException if it may not be durable: the stored state is then the one before, or this one
     */
    public void save(DurableState next) throws StoreException {
        if (!next.identity().equals(state.identity())) {
            throw new StoreException("the state of another identity: " + next.identity());
        }
        write(next, fencingTokens);
        state = next;
    }

    /** Returns a copy of the highest fencing token saved per singleton role. */
    public synchronized Map<String, Long> fencingTokens() {
        return Map.copyOf(fencingTokens);
    }

    /**
     * Saves and syncs the highest fencing token that this acceptor has voted for in a singleton role.
     *
     * @throws StoreException if it may not be durable: the stored token is then the one before, or this one
     */
    public void saveFencingToken(String role, long token) throws StoreException {
        Map<String, Long> next = new HashMap<>(fencingTokens());
        next.put(role, token);
        write(state, next);
        setFencingTokens(next);
    }

    /** Closes the file. A later save would rewrite it. */
    @Override
    public void close() {
        if (current != null) {
            current.close();
        }
        current = null;
        needsRewrite = true;
    }

    /**
     * Reads the file, and syncs it before anyone relies on it. After a kill the operating system may still cache a save
     * that was interrupted before its sync, which a later power loss would take back.
     */
    private void recover() throws IOException {
        current = new StateFile(files, directory.resolve(FILE_NAME));
        state = current.read();
        setFencingTokens(current.readFencingTokens());
        current.sync();
        files.syncDirectory(directory);
    }

    private void create(String identity) throws IOException {
        DurableState initial = DurableState.fresh(identity);
        rewrite(initial, fencingTokens);
        state = initial;
        isNew = true;
    }

    private synchronized void setFencingTokens(Map<String, Long> tokens) {
        fencingTokens = tokens;
    }

    private void write(DurableState nextState, Map<String, Long> nextTokens) throws StoreException {
        try {
            if (needsRewrite || current.sizeBytes() > maxFileBytes) {
                rewrite(nextState, nextTokens);
            } else {
                current.write(nextState, nextTokens);
            }
        } catch (IOException failure) {
            needsRewrite = true;
            throw new StoreException("cannot save the acceptor's state", failure);
        }
        needsRewrite = false;
    }

    /**
     * Writes the whole state into a new file, which gets the name once it is synced. This is the only way on after a
     * failed sync, since nothing written to the old file since its last sync can be trusted.
     */
    private void rewrite(DurableState nextState, Map<String, Long> nextTokens) throws IOException {
        Path nextPath = directory.resolve(NEXT_FILE_NAME);
        files.delete(nextPath);
        StateFile next = new StateFile(files, nextPath);
        try {
            next.write(nextState, nextTokens);
            files.rename(nextPath, directory.resolve(FILE_NAME));
            files.syncDirectory(directory);
        } catch (IOException failure) {
            next.close();
            throw failure;
        }
        if (current != null) {
            current.close();
        }
        current = next;
    }
}
